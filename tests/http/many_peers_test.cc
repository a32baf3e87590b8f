// Tests of the HTTP client with simultaneous calls to many addresses.
#include <criterion/criterion.h>
#include <sys/epoll.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "cranberryshunt/http/http_client.h"
#include "socket_peer.h"

using namespace cranberryshunt;        // NOLINT
using namespace cranberryshunt::http;  // NOLINT

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kAddresses = 150;

// Listens on many loopback addresses. The path of a request is the delay of its
// answer in milliseconds; "/0" is not answered.
class PeerGroup {
 public:
  PeerGroup() : epoll_(epoll_create1(0)) {
    for (int n = 0; n < kAddresses; ++n) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      sockaddr_in address{};
      address.sin_family = AF_INET;
      inet_pton(AF_INET, test::LoopbackIp(n).c_str(), &address.sin_addr);
      socklen_t size = sizeof(address);
      auto* const raw = reinterpret_cast<sockaddr*>(&address);
      if (bind(fd, raw, size) != 0 || listen(fd, 64) != 0 ||
          getsockname(fd, raw, &size) != 0) {
        std::abort();
      }
      urls_.push_back("http://" + test::LoopbackIp(n) + ":" +
                      std::to_string(ntohs(address.sin_port)));
      listeners_.push_back(fd);
      RegisterSocket(fd);
    }
    thread_ = std::thread([this] { Run(); });
  }
  ~PeerGroup() {
    stopping_ = true;
    thread_.join();
    for (const auto& [fd, text] : received_) {
      close(fd);
    }
    for (const int it : listeners_) {
      close(it);
    }
    close(epoll_);
  }
  PeerGroup(const PeerGroup&) = delete;
  PeerGroup& operator=(const PeerGroup&) = delete;

  const std::string& url(int n) const {
    return urls_[static_cast<std::size_t>(n)];
  }
  // While frozen, the peers accept no connections and answer no requests.
  void set_frozen(bool frozen) { frozen_ = frozen; }

 private:
  void RegisterSocket(int fd) const {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = fd;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
  }
  void Run() {
    while (!stopping_) {
      if (frozen_) {
        std::this_thread::sleep_for(milliseconds(1));
        continue;
      }
      std::array<epoll_event, 256> events{};
      const int n = epoll_wait(epoll_, events.data(), 256, 1);
      for (int i = 0; i < n; ++i) {
        OnReadable(events[static_cast<std::size_t>(i)].data.fd);
      }
      SendDueAnswers();
    }
  }
  void OnReadable(int fd) {
    if (std::find(listeners_.begin(), listeners_.end(), fd) !=
        listeners_.end()) {
      const int accepted = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK);
      if (accepted >= 0) {
        received_[accepted] = {};
        RegisterSocket(accepted);
      }
      return;
    }
    std::array<char, 4096> buf{};
    const auto n = recv(fd, buf.data(), buf.size(), 0);
    if (n <= 0) {
      received_.erase(fd);
      std::erase_if(pending_answers_,
                    [&](const auto& it) { return it.second == fd; });
      close(fd);
      return;
    }
    auto& text = received_[fd];
    text.append(buf.data(), static_cast<std::size_t>(n));
    const auto end = text.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    const int delay_ms = std::atoi(text.c_str() + text.find('/') + 1);
    text.erase(0, end + 4);
    if (delay_ms > 0) {
      pending_answers_.emplace(steady_clock::now() + milliseconds(delay_ms),
                               fd);
    }
  }
  void SendDueAnswers() {
    while (!pending_answers_.empty() &&
           pending_answers_.begin()->first <= steady_clock::now()) {
      constexpr std::string_view kAnswer =
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
      (void)!send(pending_answers_.begin()->second, kAnswer.data(),
                  kAnswer.size(), MSG_NOSIGNAL);
      pending_answers_.erase(pending_answers_.begin());
    }
  }

  const int epoll_;
  std::vector<int> listeners_;
  std::vector<std::string> urls_;
  std::map<int, std::string> received_;
  std::multimap<steady_clock::time_point, int> pending_answers_;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> frozen_ = false;
  std::thread thread_;
};

}  // namespace

// Guards against calls that never end when many peers stop answering for some
// seconds while further calls to them wait for a connection.
Test(http_client, ends_every_call_to_many_peers) {
  PeerGroup peers;
  const auto client = std::move(*HttpClient::Create({}));
  std::atomic<int> open = 0;
  std::atomic<int> answered = 0;
  std::mt19937 random(1);
  const auto send = [&](int peer, int delay_ms, int timeout_ms, bool fresh) {
    HttpCall call;
    call.method = "POST";
    call.body = "{}";
    call.headers = {"Expect:"};
    call.url = peers.url(peer) + "/" + std::to_string(delay_ms);
    call.timeout = milliseconds(timeout_ms);
    call.fresh_connection = fresh;
    ++open;
    client->Send(std::move(call), [&](const HttpAnswer& answer) {
      answered += answer.status == 200 ? 1 : 0;
      --open;
    });
  };
  const auto begin = steady_clock::now();
  for (int iteration = 0; steady_clock::now() - begin < milliseconds(6'000);
       ++iteration) {
    const auto elapsed = steady_clock::now() - begin;
    const bool frozen =
        elapsed > milliseconds(1'500) && elapsed < milliseconds(4'500);
    peers.set_frozen(frozen);
    for (int n = 0; n < 20; ++n) {
      const int peer = static_cast<int>(random() % kAddresses);
      const bool silent = random() % 20 == 0;
      const int delay = silent ? 0 : 1 + static_cast<int>(random() % 60);
      send(peer, delay, 1'000, frozen && n % 3 == 0);
    }
    for (int n = 0; n < 3; ++n) {
      send((3 * iteration + n) % kAddresses, 1'000, 2'000, frozen);
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  peers.set_frozen(false);
  WaitFor([&] { return open == 0; }, std::chrono::seconds(5));
  cr_expect_eq(open, 0, "%d calls never ended", open.load());
  cr_expect_gt(answered, 2'000);
}

// Guards against calls that end late or never, because libcurl may check the
// time of a call some microseconds early and does not check it again. Few calls
// are affected, so the test makes thousands.
Test(http_client, ends_each_of_thousands_of_unanswered_calls) {
  PeerGroup peers;
  const auto client = std::move(*HttpClient::Create({}));
  constexpr int kRounds = 1'500;
  constexpr int kCallsPerRound = 4;
  std::atomic<int> open = 0;
  std::atomic<int> late = 0;
  for (int n = 0; n < kRounds * kCallsPerRound; ++n) {
    HttpCall call;
    call.method = "GET";
    call.url = peers.url(n % kAddresses) + "/0";
    // Longer than the connect timeout, at which libcurl checks the call again.
    call.timeout = milliseconds(700 + n % 5);
    const auto due = steady_clock::now() + call.timeout;
    ++open;
    client->Send(std::move(call), [&, due](const HttpAnswer&) {
      constexpr milliseconds kSlack{300};
      late += steady_clock::now() > due + kSlack ? 1 : 0;
      --open;
    });
    if (n % kCallsPerRound == 0) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
  WaitFor([&] { return open == 0; }, std::chrono::seconds(3));
  cr_expect_eq(open, 0, "%d calls never ended", open.load());
  cr_expect_eq(late, 0, "%d calls ended late", late.load());
}

// Guards against calls to responsive peers being blocked by calls to silent
// peers that wait for a free connection.
Test(http_client, answers_in_time_beside_calls_that_wait_for_connections) {
  PeerGroup peers;
  const auto client = std::move(*HttpClient::Create({}));
  constexpr int kRounds = 1'000;
  constexpr int kSilentPeers = kAddresses / 3;
  std::atomic<int> open = 0;
  std::atomic<int> unanswered = 0;
  std::atomic<int> late = 0;
  const auto send = [&](int peer, int delay_ms) {
    HttpCall call;
    call.method = "GET";
    call.url = peers.url(peer) + "/" + std::to_string(delay_ms);
    call.timeout = milliseconds(1'000);
    const auto due = steady_clock::now() + milliseconds(delay_ms);
    ++open;
    client->Send(std::move(call), [&, due, delay_ms](const HttpAnswer& answer) {
      constexpr milliseconds kSlack{200};
      if (delay_ms > 0) {
        unanswered += answer.status == 200 ? 0 : 1;
        late += steady_clock::now() > due + kSlack ? 1 : 0;
      }
      --open;
    });
  };
  for (int round = 0; round < kRounds; ++round) {
    // These peers answer some calls before they become silent, so there are
    // idle connections to them.
    const bool silent = round >= kRounds / 4;
    send(round % kSilentPeers, silent ? 0 : 1);
    send(round % kSilentPeers, silent ? 0 : 1);
    // More calls than the limit of connections to an address.
    for (int n = 0; n < 8 && round % 4 == 0; ++n) {
      send(kSilentPeers + round / 4 % (kAddresses - kSilentPeers), 10);
    }
    std::this_thread::sleep_for(milliseconds(1));
  }
  WaitFor([&] { return open == 0; }, std::chrono::seconds(3));
  cr_expect_eq(open, 0, "%d calls never ended", open.load());
  cr_expect_eq(unanswered, 0, "%d calls had no answer", unanswered.load());
  cr_expect_eq(late, 0, "%d calls were answered late", late.load());
}
