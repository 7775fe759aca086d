#!/usr/bin/env bash
# Prints INDEX.md: every file with the line in which it says what it does.
#
#   tools/index.sh >INDEX.md
set -u
cd "$(dirname "$0")/.."

# summary FILE: the first line of a source file, or the first comment of a script.
summary () {
  case $1 in
    # The line may go on over several, up to an empty one or the end of the comment.
    *.c | *.h)
      awk 'NR == 1 && !sub (/^\/\* *[^ ]* -- /, "") { exit }
           /^ \*\/?$/ { exit }
           { end = sub (/ *\*\/$/, ""); sub (/^ \* /, ""); text = text (NR > 1 ? " " : "") $0 }
           end { exit }
           END { if (text != "") print text }' "$1" ;;
    *.sh | *.mk | .ci/run) sed -n '/^#!/d;s/^# //p;/^[^#]/q' "$1" | head -n 1 ;;
    *.md) sed -n 's/^# //p' "$1" | head -n 1 ;;
  esac
}

echo "# Index of files"
echo
echo "Made by tools/index.sh from the line in which each file says what it does."
for dir in lib/base lib/wire lib/settings lib/http lib/platform lib/config lib/view lib/claim lib/quota lib/dispatch \
  lib/job lib/slo lib/reactor lib/executor lib/cluster lib/drain lib/scheduler platform daemon tool standins bench bench/policy tests tests/system tests/soak tests/deployment tools mk docs docs/design; do
  echo
  echo "## $dir"
  echo
  git ls-files "$dir" | while read -r file; do
    [ "$(dirname "$file")" = "$dir" ] || continue
    text=$(summary "$file")
    [ -n "$text" ] && printf -- '- `%s`: %s\n' "$(basename "$file")" "$text"
  done
done
exit 0
