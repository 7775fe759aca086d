#!/usr/bin/env bash
# How much of the worth of days that end with the loss of all hosts nobody could have earned.
#
#   tools/ceiling.sh CONTACT_S REPORT...     reports of the bench; CONTACT_S: the site's contact_window_ms in seconds
#
# Counted as out of reach: the jobs that were under way when all hosts were lost, and all that arrived in a data centre
# until its first host was back and reached the platform.  A host that comes back in a data centre that is cut off has
# neither a configuration nor endpoints until the cut ends.  Prices are those of the day.  Everything else is counted as
# if it could be served in time, also in bursts and cuts, so that the true ceiling lies lower.
set -eu
[ $# -ge 2 ] || {
  sed -n '4s/^# *//p' "$0" >&2
  exit 2
}
contact_s=$1
shift
# shellcheck disable=SC2016
jq -rn --argjson contact "$contact_s" '
def spans: [splits (", ") | capture ("^(?<from>[0-9.-]+) to (?<to>[0-9.]+)$") | map_values (tonumber)];
# Jobs that arrive from $from to $to.
def arrivals ($r; $from; $to):
  [ $r.windows[] | (.name | tonumber) as $at | .n * ([0, ([$to, $at + 2] | min) - ([$from, $at] | max)] | max) / 2 ] | add;
# Per zone: when its first host is back after all were lost at $lost_at.
def back ($r; $lost_at):
  [ $r.zones[] | .name as $zone
    | { zone: $zone,
        back_at: ([ $r.touch.out | to_entries[] | select (.key | contains ($zone)) | .value | spans[]
                    | select (.from <= $lost_at + 0.1 and .to > $lost_at) | .to - $contact ] | min // $lost_at) } ];
def figures:
  . as $r
  | ([ .events[] | select (.kind | startswith ("closing")) | .at_s ] | first // null) as $lost_at
  | ((.windows | length) * 2) as $length_s
  | if $lost_at == null then { least: 0, by_zone: [], in_window: 0, class: 0 } else
      back ($r; $lost_at) as $back
      | [ .classes[] | .n / $length_s * .p50_ms / 1000 ] as $under_way
      | [ $back[] | . as $b | ($r.zones[] | select (.name == $b.zone) | .n) as $n
          | (arrivals ($r; $lost_at; .back_at) * $n / $r.all.n + ($under_way | add) * $n / $r.all.n) as $least
          | { least: $least, share: ($least / $n), down_s: (.back_at - $lost_at) } ] as $zones
      | { least: ([$zones[].least] | add), by_zone: [$zones[].share],
          in_window: ([ ([$zones[].least] | add) / ([arrivals ($r; $lost_at - 1; $lost_at + 3), 1] | max), 1 ] | min),
          class: ([ .classes[] | (([$zones[].down_s] | min) + .p50_ms / 1000) / $length_s ] | max) }
    end
  | { "whole day": (1 - .least / $r.all.n), "worst zone": (1 - (.by_zone | max // 0)),
      "worst windows": (1 - .in_window), "worst class": (1 - .class) } as $best
  | ([ $r.prices[][2] ] | add) as $prices
  | { worth: $r.G, ceiling: (([ $r.parts[] | .[1] * $best[.[0]] ] | add) - $prices),
      lost: ($r.all.n * (1 - $r.all.worth)), least: .least, parts: ([ $r.parts[] | [.[0], .[2], $best[.[0]]] ]) };
[ inputs | figures ] as $days
| ($days | length) as $n
| "days \($n)",
  "worth    \([$days[].worth] | add / $n | . * 10000 | round / 10000)   ceiling \([$days[].ceiling] | add / $n | . * 10000 | round / 10000)",
  "lost     \([$days[].lost] | add / $n | round) jobs a day, out of reach \([$days[].least] | add / $n | round)",
  ( [$days[0].parts[][0]][] as $name
    | [$days[].parts[] | select (.[0] == $name)] as $rows
    | "\($name)   \([$rows[][1]] | add / $n | . * 1000 | round / 1000)   ceiling \([$rows[][2]] | add / $n | . * 1000 | round / 1000)" )
' "$@"
