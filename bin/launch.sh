# Functions of the launchers; sourced, not run.

java=${JAVA_HOME:+$JAVA_HOME/bin/}java

# Builds the programs on first use.
build_if_needed() {
  local module
  for module in ctl host standins; do
    if ! compgen -G "$root/target/gooseberryring-$module/gooseberryring-$module-*.jar" >/dev/null \
      || [ ! -d "$root/target/gooseberryring-$module/lib" ]; then
      echo "event=build module=gooseberryring-$module" >&2
      (cd "$root" && mvn -B -q -DskipTests package) >&2
      return
    fi
  done
}

# Prints the class path of a module.
class_path() {
  printf '%s' "$root/target/gooseberryring-$1/lib/*:$root/target/gooseberryring-$1/*"
}
