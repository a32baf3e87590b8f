// Tests the delivery of relayed messages to controllers that are slow or out of
// reach.
#include "thrift_relay_link.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <utility>

#include "ControllerService.h"
#include "cranberryshunt/wire/controller_server.h"
#include "support/fault_proxy.h"
#include "support/loopback.h"
#include "support/process.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

constexpr std::chrono::seconds kWaitLimit{20};
constexpr std::chrono::seconds kMessageLifetime{30};
constexpr const char* kServer = "server";

// Records the messages in the order of their first arrival.
class RecordingHandler final : public wire::ControllerServiceNull {
 public:
  void RelayOrders(const std::string& /*leader*/,
                   const std::vector<wire::RelayedOrder>& orders) override {
    std::unique_lock lock(mutex_);
    ++blocked_orders_;
    changed_.notify_all();
    changed_.wait(lock, [this] { return !block_orders_; });
    for (const auto& it : orders) {
      Record(order_ids_, it.id);
      ++order_copies_[it.id];
    }
    if (const auto lose = std::exchange(lose_orders_, nullptr)) {
      lose();
    }
    changed_.notify_all();
  }
  void RelayReplies(const std::vector<wire::RelayedReply>& replies) override {
    const std::lock_guard lock(mutex_);
    if (const auto lose = std::exchange(lose_replies_, nullptr)) {
      lose();
      return;
    }
    for (const auto& it : replies) {
      Record(reply_ids_, it.id);
    }
    changed_.notify_all();
  }

  // Calls `lose` instead of recording the next replies.
  void LoseNextReplies(std::function<void()> lose) {
    const std::lock_guard lock(mutex_);
    lose_replies_ = std::move(lose);
  }
  // Calls `lose` once the next orders have been recorded.
  void AfterNextOrders(std::function<void()> lose) {
    const std::lock_guard lock(mutex_);
    lose_orders_ = std::move(lose);
  }
  int CopiesOfOrder(std::int64_t id) {
    const std::lock_guard lock(mutex_);
    return order_copies_[id];
  }
  bool WaitForCopies(std::int64_t id, int count) {
    return WaitFor([&] { return order_copies_[id] >= count; });
  }
  void SetBlockOrders(bool block) {
    const std::lock_guard lock(mutex_);
    block_orders_ = block;
    changed_.notify_all();
  }
  bool WaitForBlockedOrders() {
    return WaitFor([this] { return blocked_orders_ > 0; });
  }
  bool WaitForReplies(const std::vector<std::int64_t>& ids) {
    return WaitFor([&] { return reply_ids_ == ids; });
  }
  bool WaitForOrders(const std::vector<std::int64_t>& ids) {
    return WaitFor([&] { return order_ids_ == ids; });
  }

 private:
  static void Record(std::vector<std::int64_t>& ids, std::int64_t id) {
    if (std::find(ids.begin(), ids.end(), id) == ids.end()) {
      ids.push_back(id);
    }
  }

  template <typename Condition>
  bool WaitFor(Condition condition) {
    std::unique_lock lock(mutex_);
    return changed_.wait_until(
        lock, std::chrono::steady_clock::now() + kWaitLimit, condition);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::function<void()> lose_replies_;
  std::function<void()> lose_orders_;
  std::map<std::int64_t, int> order_copies_;
  bool block_orders_ = false;
  int blocked_orders_ = 0;
  std::vector<std::int64_t> order_ids_;
  std::vector<std::int64_t> reply_ids_;
};

// A controller behind a proxy that injects faults.
struct Fixture {
  Fixture()
      : proxy([this](std::uint16_t, std::uint16_t) {
          ++connections;
          return std::string();
        }),
        address(test::LoopbackIp(0) + ":21000"),
        link("127.0.0.1:1", "secret", clock) {
    const auto target = test::LoopbackIp(1) + ":21000";
    auto started = wire::ControllerServer::Start(
        target, "secret", handler, [](const std::string& /*peer*/) {});
    cr_assert(started.has_value());
    server = std::move(*started);
    cr_assert(proxy.ListenAt(kServer, address, target));
  }

  void SendReply(std::int64_t id) {
    wire::RelayedReply reply;
    reply.id = id;
    link.SendReplies(address, {{reply, clock.Now() + kMessageLifetime}});
  }
  void SendOrder(std::int64_t id) {
    wire::RelayedOrder order;
    order.id = id;
    link.SendOrders(address, {{order, clock.Now() + kMessageLifetime}});
  }

  const test::Link to_server{"", kServer};
  // Connections that were opened to the proxy.
  std::atomic<int> connections = 0;
  SystemClock clock;
  RecordingHandler handler;
  std::unique_ptr<wire::ControllerServer> server;
  test::FaultProxy proxy;
  const std::string address;
  ThriftRelayLink link;
};

}  // namespace

// Load pattern: a takeover, after which the leader is short of processor time,
// so that each round trip with it takes longer than between idle hosts. Guards
// against messages that are lost because no connection is opened in time.
Test(thrift_relay_link, delivers_to_a_slow_controller) {
  Fixture it;
  it.proxy.Delay(it.to_server, std::chrono::milliseconds(250));
  it.SendReply(1);
  it.SendOrder(2);
  cr_expect(it.handler.WaitForReplies({1}));
  cr_expect(it.handler.WaitForOrders({2}));
}

// Guards against messages that are lost when their connection breaks before
// the controller has handled them, and against later ones that overtake them.
Test(thrift_relay_link, sends_again_after_a_failure) {
  Fixture it;
  it.handler.LoseNextReplies([&] {
    it.SendReply(2);
    it.proxy.CloseOpenConnections(it.to_server);
  });
  it.SendReply(1);
  cr_expect(it.handler.WaitForReplies({1, 2}));
}

// Guards against a start that a restarted controller executes a second time and
// reports as refused, although the worker carried out the first copy.
Test(thrift_relay_link, sends_a_start_at_most_once) {
  Fixture it;
  wire::RelayedOrder start;
  start.id = 1;
  start.__set_start({});
  wire::RelayedOrder hold;
  hold.id = 2;
  hold.__set_hold({});
  it.handler.AfterNextOrders(
      [&] { it.proxy.CloseOpenConnections(it.to_server); });
  const auto deadline = it.clock.Now() + kMessageLifetime;
  it.link.SendOrders(it.address, {{start, deadline}, {hold, deadline}});
  cr_expect(it.handler.WaitForCopies(2, 2));
  cr_expect_eq(it.handler.CopiesOfOrder(1), 1);
}

// Guards against a start that is lost because no connection to the controller
// could be opened at first.
Test(thrift_relay_link, sends_a_start_again_that_was_not_sent) {
  Fixture it;
  it.proxy.Cut(it.to_server);
  wire::RelayedOrder start;
  start.id = 1;
  start.__set_start({});
  it.link.SendOrders(it.address, {{start, it.clock.Now() + kMessageLifetime}});
  cr_assert(test::WaitUntil(kWaitLimit, [&] { return it.connections > 1; }));
  it.proxy.Heal(it.to_server);
  cr_expect(it.handler.WaitForOrders({1}));
}

// Guards against replies that wait until a call with orders has ended.
Test(thrift_relay_link, sends_replies_while_orders_wait) {
  Fixture it;
  it.handler.SetBlockOrders(true);
  it.SendOrder(1);
  cr_assert(it.handler.WaitForBlockedOrders());
  it.SendReply(2);
  cr_expect(it.handler.WaitForReplies({2}));
  it.handler.SetBlockOrders(false);
}
