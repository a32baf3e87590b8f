#include "account_report.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "cranberryshunt/base/log.h"

namespace cranberryshunt::cell {

namespace {

constexpr std::size_t kMaxLines = 10;
constexpr std::size_t kMaxLabels = 20;
const std::string kOtherLabel = "other";

const char* RefusalName(AccountRefusal reason) {
  switch (reason) {
    case AccountRefusal::kOverRate:
      return "over_rate";
    case AccountRefusal::kAccountLimit:
      return "account_limit";
    case AccountRefusal::kLate:
      return "late";
    case AccountRefusal::kOverloaded:
      return "overloaded";
    case AccountRefusal::kLargerThanLimit:
      return "larger_than_limit";
    case AccountRefusal::kNoWorkers:
      return "no_workers";
  }
  return "unknown";
}

// Names of accounts are any text, and labels stand between quotation marks.
std::string ToLabel(std::string name) {
  for (auto& it : name) {
    const auto code = static_cast<unsigned char>(it);
    if (it == '"' || it == '\\' || code < ' ') {
      it = '_';
    }
  }
  return name;
}

}  // namespace

struct AccountReport::Line {
  std::string name;
  policy::Demand used;
  policy::Demand limit;
  std::int64_t waiting_tasks = 0;
  std::int64_t waiting_milli_cpus = 0;
  std::int64_t at_limit = 0;  // Of the waiting tasks.
  Counts counts;

  std::int64_t UsedAndWaitingMilliCpus() const {
    return used.milli_cpus + waiting_milli_cpus;
  }
  bool IsEmpty() const {
    return used == policy::Demand() && waiting_tasks == 0 &&
           counts.accepted == 0 && counts.refused.empty();
  }
};

AccountReport::Counts& AccountReport::Counts::operator+=(const Counts& other) {
  accepted += other.accepted;
  over_rate += other.over_rate;
  for (const auto& [reason, count] : other.refused) {
    refused[reason] += count;
  }
  return *this;
}

void AccountReport::RecordAccepted(const std::string& account, bool over_rate) {
  if (!account.empty()) {
    auto& counts = counts_[account];
    ++counts.accepted;
    counts.over_rate += over_rate ? 1 : 0;
  }
}

void AccountReport::RecordRefused(const std::string& account,
                                  AccountRefusal reason) {
  if (account.empty()) {
    return;
  }
  ++counts_[account].refused[reason];
  ++metrics_.Counter("jobs_refused_total{account=\"" +
                     LabelIn(refusal_labels_, account) + "\",reason=\"" +
                     RefusalName(reason) + "\"}");
}

std::string AccountReport::LabelIn(std::set<std::string>& labels,
                                   const std::string& account) {
  auto label = ToLabel(account);
  if (labels.contains(label)) {
    return label;
  }
  // One label is left for the others.
  if (labels.size() + 1 >= kMaxLabels) {
    return kOtherLabel;
  }
  labels.insert(label);
  return label;
}

void AccountReport::LogLine(const Line& line) {
  const auto refused = [&](AccountRefusal reason) {
    const auto it = line.counts.refused.find(reason);
    return it == line.counts.refused.end() ? 0 : it->second;
  };
  cranberryshunt::Log(
      LogLevel::kInfo, "accounts", "use of accounts",
      {{"account", line.name},
       {"cpus_used", line.used.milli_cpus / 1'000},
       {"cpus_limit", line.limit.milli_cpus / 1'000},
       {"memory_used_mb", line.used.memory_mb},
       {"memory_limit_mb", line.limit.memory_mb},
       {"accelerators_used", line.used.accelerators},
       {"accelerators_limit", line.limit.accelerators},
       {"waiting_tasks", line.waiting_tasks},
       {"at_limit", line.at_limit},
       {"accepted", line.counts.accepted},
       {"over_rate", line.counts.over_rate},
       {"refused_over_rate", refused(AccountRefusal::kOverRate)},
       {"refused_account_limit", refused(AccountRefusal::kAccountLimit)},
       {"refused_late", refused(AccountRefusal::kLate)},
       {"refused_overloaded", refused(AccountRefusal::kOverloaded)},
       {"refused_larger_than_limit", refused(AccountRefusal::kLargerThanLimit)},
       {"refused_no_workers", refused(AccountRefusal::kNoWorkers)}});
}

void AccountReport::Log(const policy::GraphPlanner& planner) {
  const auto& accounts = planner.accounts();
  const auto counts = std::exchange(counts_, {});
  std::vector<Line> lines(static_cast<std::size_t>(accounts.end_number()));
  for (policy::AccountNumber n = 1; n < accounts.end_number(); ++n) {
    auto& line = lines[static_cast<std::size_t>(n)];
    line.name = accounts.NameOf(n);
    line.used = accounts.UseOf(n).used;
    line.limit = accounts.LimitOf(n);
    const auto known = counts.find(line.name);
    line.counts = known == counts.end() ? Counts() : known->second;
  }
  for (const auto& [id, step] : planner.waiting_steps()) {
    if (step->account != policy::kNoAccount) {
      auto& line = lines[static_cast<std::size_t>(step->account)];
      const auto tasks = static_cast<std::int64_t>(step->waiting.size());
      line.waiting_tasks += tasks;
      line.waiting_milli_cpus += tasks * step->demand.milli_cpus;
      line.at_limit += step->at_limit ? tasks : 0;
    }
  }
  std::map<std::string, double> cpus;
  for (const auto& label : use_labels_) {
    cpus[label] = 0;
  }
  std::erase_if(lines, [](const auto& it) { return it.IsEmpty(); });
  std::stable_sort(
      lines.begin(), lines.end(), [](const auto& a, const auto& b) {
        return a.UsedAndWaitingMilliCpus() > b.UsedAndWaitingMilliCpus();
      });
  Line rest;
  for (std::size_t n = 0; n < lines.size(); ++n) {
    const auto& line = lines[n];
    cpus[LabelIn(use_labels_, line.name)] +=
        static_cast<double>(line.used.milli_cpus) / 1'000;
    if (n < kMaxLines) {
      LogLine(line);
      continue;
    }
    rest.used += line.used;
    rest.waiting_tasks += line.waiting_tasks;
    rest.at_limit += line.at_limit;
    rest.counts += line.counts;
  }
  if (lines.size() > kMaxLines) {
    rest.name = std::to_string(lines.size() - kMaxLines) + " others";
    LogLine(rest);
  }
  for (const auto& [label, used] : cpus) {
    metrics_.Gauge("account_cpus{account=\"" + label + "\"}") = used;
  }
}

void AccountReport::Clear() {
  counts_.clear();
  for (const auto& label : use_labels_) {
    metrics_.Gauge("account_cpus{account=\"" + label + "\"}") = 0;
  }
  if (!use_labels_.empty()) {
    metrics_.Gauge("account_cpus{account=\"" + kOtherLabel + "\"}") = 0;
  }
}

}  // namespace cranberryshunt::cell
