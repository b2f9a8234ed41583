#!/bin/sh
# Compares `packages` in deploy/system.toml with what a build of the deployed programs really uses: the packages of all
# system headers that their objects include, and the tools. What comes only as a recommendation of a listed package does
# not count. Usage: check_packages.sh SOURCE_DIR BUILD_DIR (a Ninja build).
set -eu
source_dir=$1
build_dir=$2
listed=$(sed -n 's/^packages = \[\(.*\)\]/\1/p' "$source_dir/deploy/system.toml" | tr -d '",')
closure=$(apt-cache depends --recurse --no-recommends --no-suggests --no-conflicts --no-breaks --no-replaces \
  --no-enhances $listed 2>/dev/null | grep -E '^[a-z0-9]' | sed 's/:.*//' | sort -u)
[ -n "$closure" ] || { echo "packages: apt knows none of the listed packages"; exit 1; }
cd "$build_dir"
objects=$(ninja -t inputs wharf_edge wharf_control_node | grep '\.o$')
[ -n "$objects" ] || { echo "packages: no objects found in $build_dir"; exit 1; }
headers=$(ninja -t deps $objects | sed -n 's/^ *\(\/usr\/include\/.*\)$/\1/p' | sort -u)
used=$(echo "$headers" | xargs dpkg -S 2>/dev/null | sed 's/: .*//; s/:.*//' | tr ',' '\n' | sed 's/^ *//' | sort -u)
missing=0
for package in $used g++ make cmake pkg-config; do
  echo "$closure" | grep -qxF "$package" && continue
  echo "packages: $package is used by the build and neither listed nor required by what is listed"
  missing=1
done
[ "$missing" -eq 0 ] && echo "packages: $(echo "$used" | wc -l) packages of headers, all listed or required by listed ones"
exit "$missing"
