# Functions for scripts that run the product and its stand-ins as separate
# processes on loopback. Sourced; needs $base, the first of 400 ports.
#
# Ports: base the platform, +1 the cutter's orders, +100 engines, +200 services,
# +300 callers, +310 operators, +320 peers of the instances; with the cutter
# +150 links to engines, +250 to services, +350 to callers' sides, +360 to the
# platform for each instance, +370 to its peers' side.

bin=$PWD/bin
work=$(mktemp -d)
instances=${instances:-3}
engines=${engines:-3}
services=${services:-2}
operators_hop=${operators_hop:-310}
peers_hop=${peers_hop:-320}
timing=${timing-'"Lease": "3s", "Renew": "500ms", "Poll": "500ms",'}
engine_hop=100
service_hop=200
platform=127.0.0.1:$base
export SNIPECTL_KEY=demo-operator
declare -A pid command

# stop_all ends what this script started, frozen processes included.
stop_all() {
	local name
	touch "$work/over"
	for name in "${!pid[@]}"; do
		kill -CONT "${pid[$name]}" 2>/dev/null || true
		kill "${pid[$name]}" 2>/dev/null || true
	done
	sleep 0.2
	for name in "${!pid[@]}"; do kill -9 "${pid[$name]}" 2>/dev/null || true; done
	wait 2>/dev/null || true
	if [ -n "${KEEP_LOGS:-}" ]; then mkdir -p "$KEEP_LOGS" && cp "$work"/* "$KEEP_LOGS"/; fi
	rm -rf "$work"
}
trap stop_all EXIT

# start NAME COMMAND...: starts a process and remembers it.
start() {
	local name=$1
	shift
	command[$name]=$(printf '%q ' "$@")
	again "$name"
}

# again NAME: starts a process with the command it had before.
again() {
	eval "exec ${command[$1]}" >>"$work/$1.out" 2>>"$work/$1.log" &
	pid[$1]=$!
}

# end NAME: kills a process without warning.
end() {
	kill -9 "${pid[$1]}" 2>/dev/null || true
	wait "${pid[$1]}" 2>/dev/null || true
}

# alive NAME: tells whether the process is there.
alive() { kill -0 "${pid[$1]}" 2>/dev/null; }

alive_pid() { kill -0 "$1" 2>/dev/null; }

hash() { printf %s "$1" | "$bin/snipectl" hash; }

# ctl_at N ARGUMENTS...: the operators' command line at instance N.
ctl_at() {
	local n=$1
	shift
	"$bin/snipectl" -address 127.0.0.1:$((base + operators_hop + n)) "$@"
}

start_outside() {
	local n checks
	start platform "$bin/snipestand" platform -address "$platform" -rate 20 -concurrent 3 -load 100ms
	for n in $(seq $engines); do
		checks=-checks-fence
		[ "$n" = 3 ] && checks=-checks-fence=false
		start "engine$n" "$bin/snipestand" engine -address 127.0.0.1:$((base + 100 + n)) -slots 8 -token 2ms \
			-weights "$platform" -record "$work/engine$n.record" $checks
	done
	for n in $(seq $services); do
		start "service$n" "$bin/snipestand" service -address 127.0.0.1:$((base + 200 + n)) -name "orders-$n" \
			-delay ${service_delay:-20ms} -record "$work/service$n.record"
	done
}

start_cutter() {
	local n links=()
	for n in $(seq $engines); do links+=(-link "127.0.0.1:$((base + 150 + n))=127.0.0.1:$((base + 100 + n))"); done
	for n in $(seq $services); do links+=(-link "127.0.0.1:$((base + 250 + n))=127.0.0.1:$((base + 200 + n))"); done
	for n in $(seq $instances); do
		links+=(-link "127.0.0.1:$((base + 350 + n))=127.0.0.1:$((base + 300 + n))")
		links+=(-link "127.0.0.1:$((base + 360 + n))=$platform")
		links+=(-link "127.0.0.1:$((base + 370 + n))=127.0.0.1:$((base + peers_hop + n))")
	done
	start cutter "$bin/snipestand" cutter -address 127.0.0.1:$((base + 1)) "${links[@]}"
	engine_hop=150
	service_hop=250
	table_hop=360
	peer_hop=370
}

start_instances() {
	local n table announced
	for n in $(seq $instances); do
		table=$platform
		announced=
		[ -n "${peer_hop:-}" ] && announced="\"PeersAnnounced\": \"127.0.0.1:$((base + peer_hop + n))\","
		[ -n "${table_hop:-}" ] && table=127.0.0.1:$((base + table_hop + n))
		cat >"$work/instance$n.json" <<-JSON
			{"Name": "entry-$n", "Domain": "domain-$n",
			 "Callers": "127.0.0.1:$((base + 300 + n))", "Operators": "127.0.0.1:$((base + operators_hop + n))",
			 "Peers": "127.0.0.1:$((base + peers_hop + n))", "PeerSecret": "demo-secret", $announced
			 "BootstrapKeyHash": "$(hash demo-operator)", $timing
			 "Platform": {"Table": "$table", "AccessKey": "demo", "SecretKey": "demo"}}
		JSON
		"$bin/snipepitchd" -settings "$work/instance$n.json" -check
		start "instance$n" "$bin/snipepitchd" -settings "$work/instance$n.json"
	done
}

# platform_branch: prints the platform's branch.
platform_branch() {
	local n comma
	echo '{"WeightStore": {"LoadsPerSecond": 20, "Concurrent": 3}, "Services": {"orders": {"Upstreams": {'
	for n in $(seq $services); do
		comma=,
		[ "$n" = $services ] && comma=
		echo "\"orders-$n\": {\"Address\": \"127.0.0.1:$((base + service_hop + n))\", \"Domain\": \"domain-$n\"}$comma"
	done
	echo "}}}, \"Operators\": {\"demo\": {\"KeyHash\": \"$(hash demo-operator)\", \"Platform\": true}}, \"Engines\": {"
	for n in $(seq $engines); do
		comma=,
		[ "$n" = $engines ] && comma=
		echo "\"engine-$n\": {\"Address\": \"127.0.0.1:$((base + engine_hop + n))\", \"Domain\": \"domain-$n\", \"Base\": \"base-1\","
		echo "\"Slots\": 8, \"Batch\": 32, \"ChecksFence\": $([ "$n" = 3 ] && echo false || echo true)}$comma"
	done
	echo '}}'
}

# team_branch TEAM ADAPTERS [DEADLINE]: prints a team's branch.
team_branch() {
	local n last=$(($2 - 1))
	echo "{\"Keys\": {\"demo\": \"$(hash "$1-key")\"}, \"Services\": [\"orders\"],"
	echo "\"Classes\": {\"Standard\": {\"Deadline\": \"${3:-30s}\"}}, \"Adapters\": {"
	for n in $(seq 0 $last); do
		echo "\"adapter-$n\": {\"Base\": \"base-1\", \"Versions\": {\"1\": {\"Path\": \"$1/adapter-$n/1\"}}}$([ "$n" = $last ] || echo ,)"
	done
	echo '}}'
}

# all_alive: fails when a process has ended, which a port in use makes it do.
all_alive() {
	local name
	for name in "${!pid[@]}"; do
		alive "$name" && continue
		echo "$name has ended: $(tail -n 1 "$work/$name.log")" >&2
		return 1
	done
}

# apply_settings ADAPTERS: declares everything and waits until all are ready.
apply_settings() {
	local n team
	sleep 0.3
	all_alive
	platform_branch >"$work/platform.json"
	for n in $(seq 100); do ctl_at 1 apply "$work/platform.json" 2>"$work/apply.log" && break || sleep 0.1; done
	for team in bottling ash; do
		team_branch "$team" "$1" >"$work/$team.json"
		ctl_at 1 apply -team "$team" "$work/$team.json"
	done
	for n in $(seq $instances); do ready "$n"; done
}

# ready N: waits until instance N may be sent calls.
ready() {
	local n port=$((base + 300 + $1))
	for n in $(seq 150); do
		alive "instance$1" || { tail -n 1 "$work/instance$1.log" >&2 && return 1; }
		if (exec 3<>"/dev/tcp/127.0.0.1/$port" && printf 'GET /ready HTTP/1.0\r\n\r\n' >&3 &&
			head -1 <&3 | grep -q ' 200 ') 2>/dev/null; then return; fi
		sleep 0.1
	done
	echo "instance $1 is not ready" >&2
	return 1
}

# owned: waits until all engines have owners.
owned() {
	local n
	for n in $(seq 100); do
		[ "$(ctl_at 1 -json engines | grep -c '"owner":')" = $engines ] && return
		sleep 0.1
	done
	echo "engines without owners" >&2
	return 1
}

# upstreams: prints the addresses that the judge audits.
upstreams() {
	local n all=
	for n in $(seq $engines); do all+=127.0.0.1:$((base + 100 + n)),; done
	for n in $(seq $services); do all+=127.0.0.1:$((base + 200 + n)),; done
	echo "$all"
}

# entries FIRST: prints the callers' addresses, ports from FIRST on.
entries() {
	local n all=
	for n in $(seq $instances); do all+=127.0.0.1:$(($1 + n)),; done
	echo "${all%,}"
}
