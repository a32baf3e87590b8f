#include "admission.h"

#include <algorithm>
#include <utility>

namespace cranberryshunt::entry {

namespace {

// Shares of the guaranteed half in percent, in order of RequestClass.
constexpr std::array<std::int32_t, kRequestClasses> kSharePercent{20, 20, 15,
                                                                  25, 20};
// Retry time when this entry itself has too many requests in flight.
constexpr std::int64_t kLocalRetryAfterMs = 1'000;

constexpr std::size_t IndexOf(RequestClass request_class) {
  return static_cast<std::size_t>(request_class);
}

}  // namespace

RequestClass RequestClassOf(wire::JobKind::type kind) {
  switch (kind) {
    case wire::JobKind::kService:
      return RequestClass::kService;
    case wire::JobKind::kBatch:
      return RequestClass::kBatch;
    case wire::JobKind::kGang:
      return RequestClass::kGang;
    case wire::JobKind::kInteractive:
      return RequestClass::kInteractive;
  }
  return RequestClass::kStatus;
}

Admission::Ticket::Ticket(Admission* admission, RequestClass request_class)
    : admission_(admission), class_(request_class) {}

Admission::Ticket::Ticket(Ticket&& other) noexcept
    : admission_(std::exchange(other.admission_, nullptr)),
      class_(other.class_) {}

Admission::Ticket::~Ticket() {
  if (admission_ != nullptr) {
    admission_->Release(class_);
  }
}

Admission::Admission(std::int32_t max_in_flight) {
  std::int32_t guaranteed = 0;
  for (std::size_t i = 0; i < kRequestClasses; ++i) {
    guaranteed_[i] = std::max(1, max_in_flight / 2 * kSharePercent[i] / 100);
    guaranteed += guaranteed_[i];
  }
  shared_limit_ = std::max(0, max_in_flight - guaranteed);
}

tl::expected<Admission::Ticket, Refusal> Admission::Admit(
    RequestClass request_class) {
  const std::size_t index = IndexOf(request_class);
  std::lock_guard lock(mutex_);
  if (in_flight_[index] >= guaranteed_[index]) {
    if (shared_in_use_ >= shared_limit_) {
      return tl::unexpected(
          Refusal{ResultCode::kQueueFull, kLocalRetryAfterMs});
    }
    ++shared_in_use_;
  }
  ++in_flight_[index];
  return Ticket(this, request_class);
}

tl::expected<Admission::Ticket, Refusal> Admission::AdmitSubmission(
    wire::JobKind::type kind) {
  {
    std::lock_guard lock(mutex_);
    const std::int64_t retry_after_ms =
        queue_full_retry_after_ms_[IndexOf(RequestClassOf(kind))];
    if (retry_after_ms > 0) {
      return tl::unexpected(Refusal{ResultCode::kQueueFull, retry_after_ms});
    }
  }
  return Admit(RequestClassOf(kind));
}

void Admission::SetQueuePressure(
    const std::vector<wire::KindPressure>& pressure) {
  std::lock_guard lock(mutex_);
  queue_full_retry_after_ms_.fill(0);
  for (const auto& kind : pressure) {
    if (kind.full) {
      queue_full_retry_after_ms_[IndexOf(RequestClassOf(kind.kind))] =
          std::max<std::int64_t>(1, kind.retry_after_ms);
    }
  }
}

std::int32_t Admission::in_flight(RequestClass request_class) const {
  std::lock_guard lock(mutex_);
  return in_flight_[IndexOf(request_class)];
}

void Admission::Release(RequestClass request_class) {
  const std::size_t index = IndexOf(request_class);
  std::lock_guard lock(mutex_);
  --in_flight_[index];
  if (in_flight_[index] >= guaranteed_[index]) {
    --shared_in_use_;
  }
}

}  // namespace cranberryshunt::entry
