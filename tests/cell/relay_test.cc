// Tests orders that other controllers execute for the leader.
#include "relay.h"

#include <criterion/criterion.h>

#include <set>

#include "relay_codec.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::cell;  // NOLINT

namespace {

class RecordingDriver final : public WorkerDriver {
 public:
  explicit RecordingDriver(std::vector<SentOrder>& sent) : sent_(sent) {}
  void Send(std::vector<SentOrder> orders) override {
    sent_.insert(sent_.end(), orders.begin(), orders.end());
  }

 private:
  std::vector<SentOrder>& sent_;
};

class RecordingLink final : public RelayLink {
 public:
  void SendOrders(const std::string& controller,
                  std::vector<Expiring<wire::RelayedOrder>> batch) override {
    for (auto& it : batch) {
      orders.emplace_back(controller, std::move(it.message));
    }
  }
  void SendReplies(const std::string& controller,
                   std::vector<Expiring<wire::RelayedReply>> batch) override {
    for (auto& it : batch) {
      replies.emplace_back(controller, std::move(it.message));
    }
  }

  std::vector<std::pair<std::string, wire::RelayedOrder>> orders;
  std::vector<std::pair<std::string, wire::RelayedReply>> replies;
};

SentOrder MakeOrder(OrderId id, const std::string& worker) {
  SentOrder order;
  order.id = id;
  order.worker = {worker, "127.0.0.1:9", 77};
  StartOrder start;
  start.fence = 4;
  start.task = {0xab, 1, 2, 3};
  start.run = 5;
  start.payload = std::string("bytes\0and more", 14);
  start.checkpoint = "c";
  start.ticket = "t";
  start.lease_until_ms = 77;
  order.order = start;
  order.timeout = std::chrono::milliseconds(1'000);
  return order;
}

struct Fixture {
  Fixture()
      : relay(
            [this](OrderId id, const WorkerReply& reply) {
              reported.emplace_back(id, reply);
            },
            link,
            clock) {
    relay.SetDriver(std::make_unique<RecordingDriver>(own));
  }

  void AdvanceTime(std::chrono::milliseconds time) {
    clock.Advance(time);
    relay.Advance();
  }

  ManualClock clock;
  RecordingLink link;
  std::vector<SentOrder> own;
  std::vector<std::pair<OrderId, WorkerReply>> reported;
  Relay relay;
};

WorkerReply MakeDoneReply() {
  WorkerReply reply;
  reply.answer = WorkerAnswer::kDone;
  reply.clock_ms = 12;
  reply.born_ms = 34;
  reply.running.push_back({{0xab, 0, 1, 2}, 3, "c", 40, 500});
  reply.ended.push_back({7, {0xab, 0, 1, 4}, 1, wire::RunEnd::kFailed, "d"});
  reply.reused_connection = true;
  reply.detail = "status 200";
  return reply;
}

}  // namespace

// Guards against a field that is lost in the conversion.
Test(relay_codec, keeps_every_field) {
  auto order = MakeOrder(9, "w");
  const auto back = FromWire(ToWire(order));
  cr_assert(back.has_value());
  cr_expect(*back == order);
  order.order = HoldOrder{4, 5, 6, std::chrono::milliseconds(7)};
  cr_expect(*FromWire(ToWire(order)) == order);
  order.order = StopOrder{4, {1, 2, 3, 4}, 5};
  cr_expect(*FromWire(ToWire(order)) == order);
  cr_expect(FromWire(ToWire(OrderId{9}, MakeDoneReply())) == MakeDoneReply());
  cr_expect_not(FromWire(wire::RelayedOrder()).has_value());
}

// Guards against relaying orders in a small cell, which has no helpers.
Test(relay, calls_workers_itself_without_helpers) {
  Fixture it;
  it.relay.Send({MakeOrder(1, "w")});
  cr_expect_eq(it.own.size(), 1);
  it.relay.OnLocalReply(1, MakeDoneReply());
  cr_assert_eq(it.reported.size(), 1);
  cr_expect(it.reported[0].second == MakeDoneReply());
  cr_expect(it.link.orders.empty() && it.link.replies.empty());
}

// Guards against replies that are sent to the wrong controller.
Test(relay, carries_orders_out_for_a_leader) {
  Fixture it;
  it.relay.OnOrders("leader", {ToWire(MakeOrder(1, "w"))});
  cr_assert_eq(it.own.size(), 1);
  cr_expect(it.own[0] == MakeOrder(1, "w"));
  it.relay.OnLocalReply(1, MakeDoneReply());
  cr_expect(it.reported.empty());
  cr_assert_eq(it.link.replies.size(), 1);
  cr_expect(it.link.replies[0].first == "leader");
  cr_expect_eq(it.link.replies[0].second.id, 1);
}

// Guards against an order that is executed twice, or replied to twice, because
// the leader repeated a message that had arrived.
Test(relay, executes_a_repeated_order_once) {
  Fixture it;
  const auto order = ToWire(MakeOrder(1, "w"));
  it.relay.OnOrders("leader", {order});
  it.relay.OnOrders("leader", {order});
  cr_expect_eq(it.own.size(), 1);
  it.relay.OnLocalReply(1, MakeDoneReply());
  it.AdvanceTime(std::chrono::seconds(3));
  it.relay.OnOrders("leader", {order, ToWire(MakeOrder(2, "w"))});
  cr_assert_eq(it.own.size(), 2);
  cr_expect_eq(it.own[1].id, 2);
  cr_expect_eq(it.link.replies.size(), 1);
}

// Guards against an order that is never reported, or is reported twice, when
// its helper has failed, and against further orders to that helper.
Test(relay, gives_up_on_a_silent_helper) {
  Fixture it;
  it.relay.SetHelpers({"helper"});
  it.relay.Send({MakeOrder(1, "w")});
  cr_expect(it.own.empty());
  it.AdvanceTime(std::chrono::milliseconds(1'200));
  cr_expect(it.reported.empty());
  it.AdvanceTime(std::chrono::milliseconds(400));
  cr_assert_eq(it.reported.size(), 1);
  cr_expect(it.reported[0].second.answer == WorkerAnswer::kNoAnswer);
  it.relay.Send({MakeOrder(2, "w")});
  cr_expect_eq(it.own.size(), 1);
  it.relay.OnReplies({ToWire(OrderId{1}, MakeDoneReply())});
  cr_expect_eq(it.reported.size(), 1, "a late reply was reported as well");
}

// Guards against a helper that is never used again after a failure.
Test(relay, uses_a_silent_helper_again_after_some_seconds) {
  Fixture it;
  it.relay.SetHelpers({"helper"});
  it.relay.Send({MakeOrder(1, "w")});
  it.AdvanceTime(std::chrono::milliseconds(1'600));
  it.relay.Send({MakeOrder(2, "w")});
  cr_expect_eq(it.own.size(), 1);
  it.AdvanceTime(std::chrono::seconds(6));
  it.relay.Send({MakeOrder(3, "w")});
  cr_expect_eq(it.own.size(), 1);
  cr_expect_eq(it.link.orders.size(), 2);
}

// Guards against a worker that stays unreachable although only its helper
// cannot reach it.
Test(relay, calls_a_worker_itself_that_its_helper_cannot_reach) {
  Fixture it;
  it.relay.SetHelpers({"helper"});
  it.relay.Send({MakeOrder(1, "w")});
  it.relay.OnReplies({ToWire(OrderId{1}, WorkerReply())});
  cr_expect_eq(it.reported.size(), 1);
  it.relay.Send({MakeOrder(2, "w"), MakeOrder(3, "other")});
  cr_assert_eq(it.own.size(), 1);
  cr_expect(it.own[0].worker.id == "w");
  auto fresh = MakeOrder(4, "other");
  fresh.fresh_connection = true;
  it.relay.Send({fresh});
  cr_expect_eq(it.own.size(), 2);
}

// Guards against an uneven distribution of the workers over the helpers.
Test(relay, spreads_workers_over_helpers) {
  Fixture it;
  it.relay.SetHelpers({"a", "b", "c", "d"});
  constexpr int kWorkers = 400;
  for (int n = 0; n < kWorkers; ++n) {
    it.relay.Send(
        {MakeOrder(static_cast<OrderId>(n) + 1, "w" + std::to_string(n))});
  }
  std::map<std::string, int> share;
  for (const auto& [controller, order] : it.link.orders) {
    ++share[controller];
  }
  cr_assert_eq(share.size(), 4);
  for (const auto& [controller, n] : share) {
    cr_expect_geq(n, kWorkers / 8, "%s has %d", controller.c_str(), n);
  }
}

// Load pattern: a takeover or a failed helper, after which many workers have
// not answered. Guards against a leader that calls all of them directly.
Test(relay, goes_another_way_before_it_calls_workers_itself) {
  Fixture it;
  it.relay.SetHelpers({"a", "b"});
  std::vector<SentOrder> orders;
  constexpr OrderId kWorkers = 200;
  for (OrderId n = 1; n <= kWorkers; ++n) {
    orders.push_back(MakeOrder(n, "w" + std::to_string(n)));
  }
  it.relay.Send(orders);
  std::map<std::string, std::string> first;
  for (const auto& [helper, order] : it.link.orders) {
    first[order.worker] = helper;
  }
  it.link.orders.clear();
  for (auto& order : orders) {
    order.id += kWorkers;
    order.fresh_connection = true;
  }
  it.relay.Send(orders);
  cr_assert_eq(it.link.orders.size(), kWorkers);
  cr_expect(it.own.empty());
  std::vector<wire::RelayedReply> unreached;
  for (const auto& [helper, order] : it.link.orders) {
    cr_expect(helper != first[order.worker]);
    unreached.push_back(ToWire(static_cast<OrderId>(order.id), WorkerReply()));
  }
  it.relay.OnReplies(unreached);
  it.relay.Send(orders);
  cr_expect_eq(it.own.size(), 40);
}

// Load pattern: a takeover, in which helpers connect to all workers at once and
// some workers have failed. Guards against avoiding a helper that still
// answers.
Test(relay, keeps_a_helper_that_answers_other_orders) {
  Fixture it;
  it.relay.SetHelpers({"helper"});
  it.relay.Send({MakeOrder(1, "w1"), MakeOrder(2, "w2")});
  it.AdvanceTime(std::chrono::milliseconds(500));
  it.relay.OnReplies({ToWire(OrderId{2}, MakeDoneReply())});
  it.AdvanceTime(std::chrono::milliseconds(1'000));
  cr_assert_eq(it.reported.size(), 2);
  cr_expect(it.reported[1].second.answer == WorkerAnswer::kNoAnswer);
  it.relay.Send({MakeOrder(3, "w3")});
  cr_expect(it.own.empty());
  cr_expect_eq(it.link.orders.size(), 3);
}

// Load pattern: a takeover, after which the leader reads replies late. Guards
// against avoiding a helper that answers, and against giving all of its load to
// one of the others.
Test(relay, uses_a_helper_again_after_a_late_reply) {
  Fixture it;
  it.relay.SetHelpers({"a", "b", "c", "d"});
  constexpr OrderId kWorkers = 400;
  const auto send_all = [&](OrderId first) {
    it.link.orders.clear();
    std::map<std::string, int> share;
    for (OrderId n = 0; n < kWorkers; ++n) {
      it.relay.Send({MakeOrder(first + n, "w" + std::to_string(n))});
    }
    for (const auto& [helper, order] : it.link.orders) {
      ++share[helper];
    }
    return share;
  };
  const auto before = send_all(1);
  std::vector<wire::RelayedReply> in_time;
  std::vector<wire::RelayedReply> late;
  for (const auto& [helper, order] : it.link.orders) {
    auto& replies = helper == "a" ? late : in_time;
    replies.push_back(ToWire(static_cast<OrderId>(order.id), MakeDoneReply()));
  }
  it.relay.OnReplies(in_time);
  it.AdvanceTime(std::chrono::milliseconds(1'500));
  auto avoided = send_all(1'000);
  cr_expect_eq(avoided["a"], 0);
  for (const auto* helper : {"b", "c", "d"}) {
    cr_expect_lt(avoided[helper], static_cast<int>(kWorkers) / 2);
  }
  it.relay.OnReplies({late.front()});
  cr_expect(send_all(2'000) == before);
}

// Load pattern: a takeover, after which a helper's requests to join reach the
// leader late. Guards against dropping a helper that answers orders, whose load
// then moves to the others.
Test(relay, keeps_a_helper_that_answers_although_it_seems_gone) {
  Fixture it;
  const auto send_some = [&](OrderId first) {
    it.link.orders.clear();
    std::set<std::string> helpers;
    for (OrderId n = 0; n < 50; ++n) {
      it.relay.Send({MakeOrder(first + n, "w" + std::to_string(n))});
    }
    for (const auto& [helper, order] : it.link.orders) {
      helpers.insert(helper);
    }
    return helpers;
  };
  it.relay.SetHelpers({"a", "b", "c"});
  cr_expect_eq(send_some(1).size(), 3);
  for (const auto& [helper, order] : it.link.orders) {
    if (helper == "b") {
      it.relay.OnReplies(
          {ToWire(static_cast<OrderId>(order.id), MakeDoneReply())});
    }
  }
  it.clock.Advance(std::chrono::seconds(2));
  it.relay.SetHelpers({"a", "c"});
  cr_expect(send_some(100).contains("b"));
  it.clock.Advance(std::chrono::seconds(1));
  it.relay.SetHelpers({"a", "c"});
  cr_expect_not(send_some(200).contains("b"));
  it.relay.SetHelpers({});
  cr_expect(send_some(300).empty());
}

// Load pattern: a leader that was frozen, so that no order was answered in
// time. Guards against a leader that then calls workers directly and overloads
// itself more and more.
Test(relay, calls_no_worker_itself_when_no_helper_answers) {
  Fixture it;
  it.relay.SetHelpers({"a", "b"});
  constexpr OrderId kWorkers = 200;
  const auto send_all = [&](OrderId first) {
    for (OrderId n = 0; n < kWorkers; ++n) {
      it.relay.Send({MakeOrder(first + n, "w" + std::to_string(n))});
    }
  };
  send_all(1);
  it.AdvanceTime(std::chrono::milliseconds(1'500));
  cr_assert_eq(it.reported.size(), kWorkers);
  it.link.orders.clear();
  send_all(1'000);
  cr_expect(it.own.empty());
  cr_expect_eq(it.link.orders.size(), kWorkers);
}

// Guards against a leader that overloads itself because its only helper does
// not answer.
Test(relay, calls_only_some_workers_itself_when_its_helper_does_not_answer) {
  Fixture it;
  it.relay.SetHelpers({"a"});
  constexpr OrderId kWorkers = 200;
  const auto send_all = [&](OrderId first) {
    for (OrderId n = 0; n < kWorkers; ++n) {
      it.relay.Send({MakeOrder(first + n, "w" + std::to_string(n))});
    }
  };
  send_all(1);
  it.AdvanceTime(std::chrono::milliseconds(1'500));
  cr_assert_eq(it.reported.size(), kWorkers);
  it.link.orders.clear();
  send_all(1'000);
  cr_expect_eq(it.own.size(), 40);
  cr_expect_eq(it.link.orders.size(), kWorkers - 40);
}
