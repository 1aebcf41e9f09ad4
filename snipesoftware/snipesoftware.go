// Package snipesoftware deals with the versions of the software that upstreams run. Upstreams of
// several versions may serve one service side by side.
package snipesoftware

// Version is the version of the software that an upstream runs, as the upstream states it. It is
// opaque: versions are compared for equality only. It has nothing to do with the versions of
// adapters.
type Version string
