// Admission control: limits the requests in flight and refuses submissions of a
// kind whose queue at the leader is full.
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

// Classes of requests, each with its own limit: submissions by job kind, and
// kStatus for status queries and cancellations.
enum class RequestClass { kService, kBatch, kGang, kInteractive, kStatus };
inline constexpr std::size_t kRequestClasses = 5;

RequestClass RequestClassOf(wire::JobKind::type kind);

// Why a request was not admitted, and when the caller may try again.
struct Refusal {
  ResultCode code;
  std::int64_t retry_after_ms;
};

// Limits the requests in flight. Half of the limit is divided among the classes
// by fixed shares, as guaranteed places; the other half is shared by all
// classes. A flood of one class therefore never takes the guaranteed places of
// another. Safe for use by several threads; each decision takes constant time.
class Admission {
 public:
  explicit Admission(std::int32_t max_in_flight);

  // Occupies one place among the requests in flight until it is destroyed.
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

  // Admits a request unless the guaranteed places of its class and the shared
  // places are all taken. Fails with kQueueFull.
  tl::expected<Ticket, Refusal> Admit(RequestClass request_class);
  // Like Admit(), but also fails with kQueueFull while the leader's queue for
  // the kind is full.
  tl::expected<Ticket, Refusal> AdmitSubmission(wire::JobKind::type kind);

  // Replaces what the leader last reported about its queues. A kind that is not
  // in `pressure` counts as not full.
  void SetQueuePressure(const std::vector<wire::KindPressure>& pressure);

  std::int32_t in_flight(RequestClass request_class) const;

 private:
  void Release(RequestClass request_class);

  mutable std::mutex mutex_;
  std::array<std::int32_t, kRequestClasses> guaranteed_{};
  std::array<std::int32_t, kRequestClasses> in_flight_{};
  // Above 0 while the leader's queue for the class is full.
  std::array<std::int64_t, kRequestClasses> queue_full_retry_after_ms_{};
  std::int32_t shared_limit_ = 0;
  std::int32_t shared_in_use_ = 0;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_ADMISSION_H_
