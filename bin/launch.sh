# Functions of the launchers; sourced, not run.

java=${JAVA_HOME:+$JAVA_HOME/bin/}java

# Builds the programs on first use.
build_if_needed() {
  local module
  for module in ctl host standins; do
    if ! compgen -G "$root/gooseberryring-$module/target/gooseberryring-$module-*.jar" >/dev/null \
      || [ ! -d "$root/gooseberryring-$module/target/lib" ]; then
      echo "event=build module=gooseberryring-$module" >&2
      (cd "$root" && mvn -B -q -DskipTests package) >&2
      return
    fi
  done
}

# Prints the class path of a module.
class_path() {
  printf '%s' "$root/gooseberryring-$1/target/lib/*:$root/gooseberryring-$1/target/*"
}
