// What operators see of client accounts: log lines and metrics. The numbers of
// lines and of labels are limited, whatever the number of accounts.
#ifndef CRANBERRYSHUNT_CELL_ACCOUNT_REPORT_H_
#define CRANBERRYSHUNT_CELL_ACCOUNT_REPORT_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "cranberryshunt/base/metrics.h"
#include "cranberryshunt/policy/graph_planner.h"

namespace cranberryshunt::cell {

// Why a job was refused.
enum class AccountRefusal {
  kOverRate,         // Beyond the rate of the account.
  kAccountLimit,     // It would be late because the account is at its limit.
  kLate,             // It would be late because the cell is full.
  kOverloaded,       // The leader is short of processor time.
  kLargerThanLimit,  // It exceeds the limit of the account by itself.
  kNoWorkers,        // No worker is there for it, or large enough.
};

// Lives as long as the process, because its metrics do.
class AccountReport {
 public:
  explicit AccountReport(MetricsRegistry& metrics) : metrics_(metrics) {}

  // Does nothing for jobs without an account.
  void RecordAccepted(const std::string& account, bool over_rate);
  void RecordRefused(const std::string& account, AccountRefusal reason);
  // Logs what happened since the last call, and updates the metrics.
  void Log(const policy::GraphPlanner& planner);
  // Forgets what an earlier leader of this process has counted.
  void Clear();

 private:
  struct Counts {
    std::int64_t accepted = 0;
    std::int64_t over_rate = 0;  // Of `accepted`.
    std::map<AccountRefusal, std::int64_t> refused;

    Counts& operator+=(const Counts& other);
  };
  struct Line;

  static void LogLine(const Line& line);
  // Returns the label of the account, or "other" once there are enough labels.
  static std::string LabelIn(std::set<std::string>& labels,
                             const std::string& account);

  MetricsRegistry& metrics_;
  std::map<std::string, Counts> counts_;
  // Labels in use, for each metric.
  std::set<std::string> use_labels_;
  std::set<std::string> refusal_labels_;
};

}  // namespace cranberryshunt::cell

#endif  // CRANBERRYSHUNT_CELL_ACCOUNT_REPORT_H_
