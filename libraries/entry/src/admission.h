// Bounds on the requests in flight and the queue pressure of each kind.
#ifndef CRANBERRYSHUNT_ENTRY_ADMISSION_H_
#define CRANBERRYSHUNT_ENTRY_ADMISSION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <vector>

#include "cranberryshunt/base/result.h"
#include "wire_types.h"

namespace cranberryshunt::entry {

// Requests that are bounded apart from each other: submissions of each kind,
// and status queries and cancellations.
enum class RequestClass { kService, kBatch, kGang, kInteractive, kStatus };
inline constexpr std::size_t kRequestClasses = 5;

RequestClass ClassOf(wire::JobKind::type kind);

struct Refusal {
  ResultCode code;
  std::int64_t retry_after_ms;
};

// Half of the bound is guaranteed to the classes by fixed shares; the other
// half is lent to whichever class needs it. A flood of one class therefore
// leaves every other class its guaranteed part at any time. Safe for use by
// several threads; each decision takes constant time.
class Admission {
 public:
  explicit Admission(std::int32_t max_in_flight);

  // Holds one place until destroyed.
  class Ticket {
   public:
    Ticket(Admission* admission, RequestClass request_class);
    Ticket(Ticket&& other) noexcept;
    Ticket& operator=(Ticket&&) = delete;
    ~Ticket();

   private:
    Admission* admission_;
    RequestClass class_;
  };

  // Admits a status query.
  tl::expected<Ticket, Refusal> Admit(RequestClass request_class);
  // Admits a submission unless the leader's queue of the kind is full.
  tl::expected<Ticket, Refusal> AdmitSubmission(wire::JobKind::type kind);

  void SetPressure(const std::vector<wire::KindPressure>& pressure);

  std::int32_t in_flight(RequestClass request_class) const;

 private:
  void Release(RequestClass request_class);

  mutable std::mutex mutex_;
  std::array<std::int32_t, kRequestClasses> guaranteed_{};
  std::array<std::int32_t, kRequestClasses> in_flight_{};
  std::array<std::int64_t, kRequestClasses> full_retry_after_ms_{};
  std::int32_t shared_ = 0;
  std::int32_t borrowed_ = 0;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_ADMISSION_H_
