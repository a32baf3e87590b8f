// Kills the processes that a test leaves behind, for example when an assertion
// fails. Reads "+PID" and "-PID" lines; at the end of the input, kills every
// process that was added and not removed.
#include <signal.h>

#include <cstdio>
#include <set>

int main() {
  // Must outlive the test: runs until the end of the input.
  signal(SIGTERM, SIG_IGN);
  signal(SIGINT, SIG_IGN);
  std::set<int> pids;
  char buf[64];
  while (std::fgets(buf, sizeof(buf), stdin) != nullptr) {
    char sign = 0;
    int pid = 0;
    if (std::sscanf(buf, "%c%d", &sign, &pid) != 2) {
      continue;
    }
    if (sign == '+') {
      pids.insert(pid);
    } else {
      pids.erase(pid);
    }
  }
  for (const int pid : pids) {
    kill(pid, SIGKILL);
  }
  return 0;
}
