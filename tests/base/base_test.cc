#include <criterion/criterion.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "cranberryshunt/base/bounded_ring.h"
#include "cranberryshunt/base/bytes.h"
#include "cranberryshunt/base/endpoint.h"
#include "cranberryshunt/base/flat_containers.h"
#include "cranberryshunt/base/log.h"
#include "cranberryshunt/base/metrics.h"
#include "cranberryshunt/base/resources.h"
#include "cranberryshunt/base/timer_service.h"

namespace cranberryshunt {

namespace {

// Standard output of this process, until the object is destroyed, is a pipe.
class OutputPipe {
 public:
  OutputPipe() {
    cr_assert_eq(pipe(ends_), 0);
    output_ = dup(STDOUT_FILENO);
    dup2(ends_[1], STDOUT_FILENO);
    close(ends_[1]);
  }
  ~OutputPipe() {
    dup2(output_, STDOUT_FILENO);
    close(output_);
    close(ends_[0]);
  }

  // Reads until all ends for writing are closed.
  std::string ReadAll() const {
    std::string out;
    char buf[4'096];
    ssize_t n = 0;
    while ((n = read(ends_[0], buf, sizeof(buf))) > 0) {
      out.append(buf, static_cast<std::size_t>(n));
    }
    return out;
  }

  static void EndOutput() { close(STDOUT_FILENO); }

 private:
  int ends_[2] = {-1, -1};
  int output_ = -1;
};

std::size_t Count(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

}  // namespace

// Guards against lines that are still queued when the process ends and are
// lost, and against lines of one thread that change places.
Test(log, writes_all_lines_in_order_before_it_ends) {
  constexpr int kLines = 300;
  const OutputPipe pipe;
  cr_assert(ConfigureLogging("info", "test").has_value());
  Log(LogLevel::kDebug, "base", "left out");
  for (int i = 0; i < kLines; ++i) {
    Log(LogLevel::kInfo, "base", "a line", {{"number", i}});
  }
  ShutDownLogging();
  OutputPipe::EndOutput();
  const auto text = pipe.ReadAll();
  cr_expect_eq(Count(text, "\n"), static_cast<std::size_t>(kLines));
  std::size_t at = 0;
  for (int i = 0; i < kLines; ++i) {
    at = text.find(
        " level=INFO process=test component=base message=\"a line\""
        " number=" +
            std::to_string(i) + "\n",
        at);
    cr_assert_neq(at, std::string::npos, "line %d", i);
  }
}

// Nobody reads the output, and then somebody does. Guards against a process
// that waits for the reader of its log, and against lines that are dropped
// without a note.
Test(log, drops_lines_and_counts_them_when_the_output_is_stuck, .timeout = 30) {
  constexpr std::size_t kLines = 20'000;
  const OutputPipe pipe;
  cr_assert(ConfigureLogging("info", "test").has_value());
  for (std::size_t i = 0; i < kLines; ++i) {
    Log(LogLevel::kInfo, "base", "a line", {{"number", i}});
  }
  std::thread end([] {
    ShutDownLogging();
    OutputPipe::EndOutput();
  });
  const auto text = pipe.ReadAll();
  end.join();
  std::size_t dropped = 0;
  const std::string note = "message=\"log lines were dropped\" lines=";
  for (auto at = text.find(note); at != std::string::npos;
       at = text.find(note, at + 1)) {
    dropped += std::stoul(text.substr(at + note.size()));
  }
  cr_expect_gt(dropped, 0U);
  cr_expect_eq(Count(text, "message=\"a line\"") + dropped, kLines);
}

// Guards against lost, doubled or unordered elements when keys arrive in any
// order.
Test(flat_containers, keep_one_element_for_each_key_in_order) {
  FlatMap<int, int> map;
  FlatSet<int> set;
  for (const int key : {5, 1, 9, 5, 3}) {
    map[key] = map.contains(key) ? -key : key;
    set.insert(key);
  }
  const std::vector<int> more = {9, 4, 4, 1};
  set.insert(more.begin(), more.end());
  const std::vector<std::pair<int, int>> elements(map.begin(), map.end());
  const std::vector<std::pair<int, int>> expected = {
      {1, 1}, {3, 3}, {5, -5}, {9, 9}};
  cr_expect(elements == expected);
  cr_expect(std::vector<int>(set.begin(), set.end()) ==
            std::vector<int>({1, 3, 4, 5, 9}));
  cr_expect_eq(map.erase(3), 1U);
  cr_expect_eq(map.erase(3), 0U);
  cr_expect(map.find(3) == map.end());
  cr_expect_eq(map.find(9)->second, 9);
  cr_expect(set.contains(4));
  cr_expect_not(set.contains(2));
}

// Guards against a ring that grows or loses items when producers are faster
// than the consumer.
Test(bounded_ring, refuses_when_full_and_keeps_order) {
  BoundedRing<int> ring(2);
  cr_assert(ring.TryPush(1));
  cr_assert(ring.TryPush(2));
  cr_assert_not(ring.TryPush(3));
  std::vector<int> out;
  cr_assert(ring.PopMany(out, 10, std::chrono::microseconds(0)));
  cr_assert_eq(out.size(), 2U);
  cr_assert_eq(out[0], 1);
  cr_assert_eq(out[1], 2);
}

// Guards against items that are dropped when the ring is closed before the
// consumer has taken them.
Test(bounded_ring, drains_after_close) {
  BoundedRing<int> ring(4);
  cr_assert(ring.Push(7));
  ring.Close();
  cr_assert_not(ring.TryPush(8));
  std::vector<int> out;
  cr_assert(ring.PopMany(out, 10, std::chrono::microseconds(0)));
  out.clear();
  cr_assert_not(ring.PopMany(out, 10, std::chrono::microseconds(0)));
}

// Guards against a callback that runs after its subscription has ended.
Test(timer_service, callbacks_end_with_the_subscription) {
  TimerService timers;
  std::atomic<int> calls = 0;
  {
    auto subscription =
        timers.RunEvery(std::chrono::milliseconds(1), [&] { ++calls; });
    while (calls < 3) {
      std::this_thread::yield();
    }
  }
  const int calls_at_end = calls;
  auto later_ran = std::atomic<bool>(false);
  auto later =
      timers.RunAfter(std::chrono::milliseconds(10), [&] { later_ran = true; });
  while (!later_ran) {
    std::this_thread::yield();
  }
  cr_assert_eq(calls, calls_at_end);
}

// Guards against a fit check that ignores one of the resources.
Test(resources, fit_needs_every_component) {
  const Resources capacity{1000, 1000, 1, 1};
  cr_assert(capacity.FitsIn(capacity));
  cr_assert_not((Resources{1001, 0, 0, 0}).FitsIn(capacity));
  cr_assert_not((Resources{0, 1001, 0, 0}).FitsIn(capacity));
  cr_assert_not((Resources{0, 0, 2, 0}).FitsIn(capacity));
  cr_assert_not((Resources{0, 0, 0, 2}).FitsIn(capacity));
}

// Guards against wrong quantiles because too few of the values are kept.
Test(metrics, quantiles_of_a_known_distribution) {
  Distribution distribution;
  const TimePoint now{std::chrono::seconds(100)};
  for (int i = 1; i <= 1000; ++i) {
    distribution.Record(i, now);
  }
  const auto summary = distribution.Summary(now);
  cr_assert_eq(summary.count, 1000U);
  cr_assert_float_eq(summary.p50, 500, 2);
  cr_assert_float_eq(summary.p99, 990, 2);
  cr_assert_eq(summary.max, 1000);
}

// Guards against NaN when there are more values than are kept for quantiles.
Test(metrics, quantiles_of_many_values_are_numbers) {
  const TimePoint now{std::chrono::seconds(100)};
  for (int n = 4'000; n < 40'000; n += 997) {
    Distribution distribution;
    for (int i = 1; i <= n; ++i) {
      distribution.Record(i, now);
    }
    const auto summary = distribution.Summary(now);
    cr_assert(summary.p50 >= 0.49 * n && summary.p50 <= n, "n=%d", n);
    cr_assert(summary.p99 >= 0.98 * n && summary.p99 <= n, "n=%d", n);
  }
}

// Guards against a change of a checksum or digest, which would make existing
// data folders unreadable.
Test(bytes, known_values) {
  cr_assert_eq(Crc32("123456789"), 0xCBF43926U);
  cr_assert(Sha256Hex("abc") ==
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  cr_assert(ConstantTimeEquals("a", "a"));
  cr_assert_not(ConstantTimeEquals("a", "ab"));
}

// Guards against addresses that no call can reach, or that are taken for
// another one: a port out of range, or text around the address.
Test(endpoint, takes_only_an_ipv4_address_and_a_port) {
  const auto endpoint = ParseEndpoint("10.0.0.9:65535");
  cr_assert(endpoint.has_value());
  cr_expect_eq(ntohs(endpoint->sin_port), 65'535);
  cr_expect_eq(ntohl(endpoint->sin_addr.s_addr), 0x0a000009U);
  cr_expect(ParseEndpoint("10.0.0.9:1").has_value());
  using std::string_view_literals::operator""sv;
  for (const auto it : {""sv,
                        ":"sv,
                        ":80"sv,
                        "10.0.0.9"sv,
                        "10.0.0.9:"sv,
                        "10.0.0.9:0"sv,
                        "10.0.0.9:65536"sv,
                        "10.0.0.9:99999"sv,
                        "10.0.0.9:080"sv,
                        "10.0.0.9:+80"sv,
                        "10.0.0.9:-80"sv,
                        "10.0.0.9: 80"sv,
                        "10.0.0.9:80 "sv,
                        " 10.0.0.9:80"sv,
                        "10.0.0.9:80/"sv,
                        "10.0.0.9:80\r\n"sv,
                        "10.0.0:80"sv,
                        "10.0.0.256:80"sv,
                        "010.0.0.9:80"sv,
                        "u@10.0.0.9:80"sv,
                        "host:80"sv,
                        "[::1]:80"sv,
                        "::1:80"sv,
                        "10.0.0.9:80:80"sv,
                        "10.0.0.9\0:80"sv,
                        "10.0.0.9:80\0"sv,
                        "10.0.0.9:99999999999999999999"sv}) {
    cr_expect_not(ParseEndpoint(it).has_value(), "%.*s",
                  static_cast<int>(it.size()), it.data());
  }
}

}  // namespace cranberryshunt
