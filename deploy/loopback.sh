#!/bin/sh
# A cluster on loopback for trying things out: three zones, in each a core, a
# store and an edge; with "live", a broker and a gateway for topics.
# usage: loopback.sh start [live]|stop|handler
set -e
cd "$(dirname "$0")/.."
dir=${SALTREEL_DIR:-/tmp/saltreel}

settings() { # zone role number bootstrap
  cat <<EOF
node-name=$2-$1
role=$2
ip-address=127.0.$1.$3
zone=zone-$1
region=region-$1
zones.zone-1=region-1
zones.zone-2=region-2
zones.zone-3=region-3
listeners.data-plane=127.0.$1.$3:8749
listeners.readiness=127.0.$1.$3:8747
listeners.control-plane=127.0.$1.$3:8741
internal-port-range=7100,7115
seed-peers=127.0.1.1:8741,127.0.2.1:8741,127.0.3.1:8741
bootstrap=$4
deployment=$deployment
policy-sections=base,tenants
data-path=$dir/$2-$1
keepalive-ms=1200
limits.cpu-share=1
limits.memory-mb=512
fault-tolerance.host-failures=1
timers.contact-ms=4000
timers.grace-s=6
timers.drain-ms=3000
timers.config-apply-ms=3000
timers.status-ttl-s=120
timers.ping-interval-s=2
timers.reconnect-s=2
timers.retransmit-s=10
timers.presence-ms=5000
timers.quota-allowance=20
timers.origin-overshoot=1.1
EOF
}

deployment=ingest
roles="core store edge"
if [ "$2" = live ]; then
  deployment=live
  roles="core broker gateway"
fi

case "$1" in
start)
  first=true
  [ -d "$dir" ] && first=false
  mkdir -p "$dir"
  for zone in 1 2 3; do
    n=0
    for role in $roles; do
      n=$((n + 1))
      program=target/saltreel-data
      [ $role = core ] && program=target/saltreel-control
      settings $zone $role $n $first >"$dir/$role-$zone.conf"
      SALTREEL_BOOT="$dir/$role-$zone.conf" $program $role >>"$dir/$role-$zone.log" 2>&1 &
      echo $! >"$dir/$role-$zone.pid"
    done
  done
  echo "started; settings, logs and data are in $dir"
  ;;
stop)
  for f in "$dir"/*.pid; do
    kill "$(cat "$f")" 2>/dev/null || true
    rm -f "$f"
  done
  echo "asked all to stop; remove $dir to begin anew"
  ;;
handler)
  exec target/saltreel-data sink 127.0.0.1:9090
  ;;
*)
  echo "usage: loopback.sh start [live]|stop|handler" >&2
  exit 2
  ;;
esac
