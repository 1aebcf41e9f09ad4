#!/usr/bin/env bash
# One round of faults over real processes: instances, engines, services and the
# platform are killed, frozen, cut and slowed, operators race and change
# settings, all under a replayed trace. The plan comes from the seed and is
# printed. Only processes that this script has started are signalled.
#
# FAULT_CRASHES calls that crash the engines they run on (1);
# FAULT_SEED the seed; FAULT_COUNT faults; FAULT_LENGTH seconds by which they
# have ended; FAULT_PORT the first of 400 ports; FAULT_PLAN a file with a plan
# of its own; KEEP_LOGS a directory that takes all logs.
#
# Exit code 0 only when the judge found no breach, no instance ever showed a
# revision below one that it had shown before, of racing edits at most one was
# accepted, and at the end all instances show the highest accepted revision and
# the branch that was accepted last, every planned stop ended with 0, and an
# upstream that had left got no new work.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${FAULT_PORT:-22400}
seed=${FAULT_SEED:-1}
count=${FAULT_COUNT:-8}
length=${FAULT_LENGTH:-24}
# More than the engines have slots for, so that loads and evictions go on.
adapters=${FAULT_ADAPTERS:-16}
rate=40
everywhere=19
stop_time=30
caller_hop=300
# Long enough that kills and cuts meet calls that are being executed.
service_delay=300ms
timeout=9s
declare -A draining down
. scripts/stand.sh

# version N TEAM: prints the version of a team's branch as instance N has it.
version() { timeout 3 "$bin/snipectl" -address 127.0.0.1:$((base + 310 + $1)) show ${2:-} | sed -n '1s/.*version //p'; }

# edit N TEAM VERSION DEADLINE: applies an edit and notes what became of it.
edit() {
	local code=0
	team_branch "$2" $adapters "$4" >"$work/$2-$4.json"
	timeout 10 "$bin/snipectl" -address 127.0.0.1:$((base + 310 + $1)) apply -team "$2" -version "$3" \
		"$work/$2-$4.json" >"$work/edit-$4" 2>&1 || code=$?
	echo "$2 $3 $4 $code $(sed -n 's/^accepted as revision //p' "$work/edit-$4")" >>"$work/edits"
}

# race TEAM: two operators send different edits of one version through two
# instances at once.
race() {
	local v
	edits=$((edits + 2))
	(
		v=$(version 1 "$1" || version 2 "$1") && [ -n "$v" ] || exit 0
		edit 1 "$1" "$v" "$((100 + edits))s" &
		edit 2 "$1" "$v" "$((101 + edits))s" &
		wait
	) &
}

# change TEAM: one operator changes a branch during the run.
change() {
	local v
	edits=$((edits + 2))
	(v=$(version 3 "$1" || version 1 "$1") && [ -n "$v" ] && edit 3 "$1" "$v" "$((100 + edits))s" || true) &
}

# drained NAME: judges the exit of a process that was told to stop.
drained() {
	local code=0
	[ -n "${draining[$1]:-}" ] || return 0
	unset "draining[$1]"
	wait "${pid[$1]}" 2>/dev/null || code=$?
	[ "$code" = 0 ] || broken "planned stop of $1 exited with $code"
}

# finish_drains: waits for the planned stops that still go on, and starts the
# instances again.
finish_drains() {
	local name n
	for name in "${!draining[@]}"; do
		for n in $(seq $((stop_time * 10))); do alive "$name" && sleep 0.1; done
		if alive "$name"; then
			broken "planned stop of $name has not ended"
			continue
		fi
		drained "$name"
		again "$name"
	done
}

# leave NAME: takes an upstream of the service out of the settings; once that
# is in force everywhere and a few seconds have passed, notes how often it was
# executed.
leave() {
	services=$((services - 1))
	platform_branch >"$work/platform-left.json"
	services=$((services + 1))
	(
		v=$(version 1 || version 2) && [ -n "$v" ] || exit 0
		for n in 1 2 3; do
			if ctl_at "$n" apply -version "$v" -wait ${everywhere}s "$work/platform-left.json" >"$work/left" 2>&1; then
				sleep 3
				"$bin/snipestand" executed 127.0.0.1:$((base + 200 + ${1//[a-z]/})) >"$work/left-$1" || true
				break
			fi
		done
	) &
}

# judge_left: an upstream that has left got no new work.
judge_left() {
	local file name now
	for file in "$work"/left-*; do
		[ -s "$file" ] || continue
		name=${file##*/left-}
		now=$("$bin/snipestand" executed 127.0.0.1:$((base + 200 + ${name//[a-z]/})))
		echo "$name has left: $(cat "$file") executions a few seconds later, $now at the end"
		[ "$now" = "$(cat "$file")" ] || broken "$name got work after it had left"
	done
}

# revive: starts engines again that a call has crashed.
revive() {
	local n
	for n in $(seq $engines); do
		[ -n "${down[engine$n]:-}" ] || alive "engine$n" || again "engine$n"
	done
}

# sleep_until MICROSECONDS: waits, reviving engines meanwhile.
sleep_until() {
	local left
	while left=$(($1 - (${EPOCHREALTIME/./} - begin))) && [ "$left" -gt 0 ]; do
		[ "$left" -gt 500000 ] && left=500000
		sleep "0.$(printf %06d "$left")"
		revive
	done
}

# link NAME: prints the cutter's listener of a link of the plan.
link() {
	local n=${1//[a-z]/}
	case $1 in
	table*) echo 127.0.0.1:$((base + 360 + n)) ;;
	peer*) echo 127.0.0.1:$((base + 370 + n)) ;;
	caller*) echo 127.0.0.1:$((base + 350 + n)) ;;
	toengine*) echo 127.0.0.1:$((base + 150 + n)) ;;
	toservice*) echo 127.0.0.1:$((base + 250 + n)) ;;
	esac
}

# step ACTION TARGET ARGUMENT: carries out one step of the plan.
step() {
	case $1 in
	kill)
		down[$2]=1
		end "$2"
		unset "draining[$2]"
		;;
	drain) [ -z "${draining[$2]:-}" ] && alive "$2" && kill -TERM "${pid[$2]}" && draining[$2]=1 || true ;;
	start)
		unset "down[$2]"
		alive "$2" || { drained "$2" && again "$2"; }
		;;
	leave) leave "$2" ;;
	freeze) kill -STOP "${pid[$2]}" 2>/dev/null || true ;;
	thaw) kill -CONT "${pid[$2]}" 2>/dev/null || true ;;
	cut) "$bin/snipestand" cut 127.0.0.1:$((base + 1)) "$(link "$2")=$3" ;;
	platform) timeout 6 "$bin/snipestand" fault "$platform" "$3" & ;;
	engine) timeout 6 "$bin/snipestand" fault 127.0.0.1:$((base + 100 + ${2//[a-z]/})) "$3" & ;;
	race) race "$2" ;;
	change) change "$2" ;;
	esac
}

# watch N: notes the revisions that instance N shows, until the run ends.
watch() {
	local revision
	while [ -d "$work" ] && [ ! -e "$work/over" ]; do
		revision=$(timeout 1 "$bin/snipectl" -address 127.0.0.1:$((base + 310 + $1)) show ash 2>/dev/null |
			sed -n '1s/# revision \([0-9]*\).*/\1/p') || true
		[ "${revision:-0}" -gt 0 ] && echo "$revision" >>"$work/revisions$1"
		sleep 0.3
	done
}

broken() {
	echo "BREACH $*"
	verdict=1
}

# judge_edits: at most one edit of each version of a branch was accepted, and
# the last accepted one is in force everywhere.
judge_edits() {
	local n highest team deadline shown
	sort -k1,1 -k2,2n "$work/edits" | awk '$4 == 0 {k = $1 " version " $2; if (seen[k]++) print k}' >"$work/twice"
	[ -s "$work/twice" ] && broken "two edits accepted: $(cat "$work/twice")"
	highest=$(awk '$4 == 0 && $5 > m {m = $5} END {print m + 0}' "$work/edits")
	for n in $(seq $instances); do
		sort -nc "$work/revisions$n" 2>"$work/sort" || broken "instance $n showed an older revision: $(cat "$work/sort")"
		[ "$(tail -n 1 "$work/revisions$n")" -ge "$highest" ] || broken "instance $n does not show revision $highest"
	done
	[ "$(for n in $(seq $instances); do tail -n 1 "$work/revisions$n"; done | sort -u | wc -l)" = 1 ] ||
		broken "instances show different revisions"
	for team in bottling ash; do
		# An edit whose outcome its operator does not know may be the last one.
		awk -v t="$team" '$1 == t && $4 != 0 && $4 != 3 && $4 != 4' "$work/edits" | grep -q . && continue
		deadline=$(awk -v t="$team" '$1 == t && $4 == 0 && $5 > m {m = $5; d = $3} END {print d}' "$work/edits")
		[ -n "$deadline" ] || continue
		shown=$(ctl_at 1 show "$team")
		grep -q "\"${deadline%s}s\"\|\"$((${deadline%s} / 60))m$((${deadline%s} % 60))s\"" <<<"$shown" ||
			broken "the edit with $deadline of $team is not in force"
	done
}

# settle: waits until all instances show the same revision, for as long as a
# change may take to be in force everywhere.
settle() {
	local n
	for n in $(seq $((everywhere * 2))); do
		[ "$(for n in $(seq $instances); do timeout 1 "$bin/snipectl" -address 127.0.0.1:$((base + 310 + n)) show 2>/dev/null |
			sed -n '1s/, .*//p' || true; done | sort | uniq -c | awk '{print $1}')" = $instances ] && break
		sleep 0.5
	done
	sleep 1
}

main() {
	edits=0
	verdict=0
	: >"$work/edits"
	if [ -n "${FAULT_PLAN:-}" ]; then
		cp "$FAULT_PLAN" "$work/plan"
	else
		"$bin/snipestand" plan -seed "$seed" -faults "$count" -length "${length}s" >"$work/plan"
	fi
	echo "plan of seed $seed (milliseconds, action, target, argument):"
	cat "$work/plan"
	start_outside
	# The cutter takes connections for a party that refuses them: without a cut
	# in the plan it would only hide what the product does.
	if grep -q ' cut ' "$work/plan"; then
		start_cutter
		caller_hop=350
	fi
	start_instances
	apply_settings $adapters
	owned
	for n in $(seq $instances); do watch "$n" & done
	"$bin/snipereplay" -load -seed "$seed" -calls $(((length + 4) * rate)) -length $((length + 4))s -adapters $adapters \
		-crashes "${FAULT_CRASHES:-1}" -service orders -timeout $timeout -popularity shift -keys bottling=bottling-key,ash=ash-key -settle 3s ${FAULT_REPLAY:-} \
		-entries "$(entries $((base + caller_hop)))" -upstreams "$(upstreams)" -json "$work/result.json" &
	replay=$!
	begin=${EPOCHREALTIME/./}
	while read -r at action target argument; do
		sleep_until $((at * 1000))
		step "$action" "$target" "$argument"
	done <"$work/plan"
	sleep_until $(((length + 4) * 1000000))
	while alive_pid "$replay"; do
		sleep 0.5
		revive
	done
	wait "$replay" || verdict=$?
	finish_drains
	settle
	touch "$work/over"
	sleep 1.5
	judge_edits
	judge_left
	echo "edits (branch, version, deadline, exit code, revision):"
	cat "$work/edits"
	(grep -hc '"Event":202' "$work"/instance?.log || true) | awk '{n += $1} END {print "wrong answers held back: " n}'
	for n in $(seq $instances); do
		if grep -q '^panic:\|^fatal error:\|DATA RACE' "$work/instance$n.log"; then broken "instance $n crashed"; fi
	done
	echo "seed $seed: $([ "$verdict" = 0 ] && echo kept || echo BROKEN)"
	exit "$verdict"
}

# Read as a whole before it runs: the file may change meanwhile.
main
