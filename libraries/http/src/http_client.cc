#include "cranberryshunt/http/http_client.h"

#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <future>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "cranberryshunt/base/log.h"

namespace cranberryshunt::http {

namespace {

constexpr int kIdleWaitMs = 1'000;
// libcurl checks all idle connections of a multi handle each second, with a
// system call for each, and restarts from the first after each dead one. With
// 500 idle connections on a busy machine, where each system call lets another
// thread run, this blocked a leader for up to 19 s. Therefore the addresses
// are spread over several multi handles.
constexpr std::size_t kShardCount = 32;
// Allows for an uneven distribution of the idle connections over the shards.
constexpr long kShardIdleFactor = 2;
constexpr std::size_t kMaxPooledHandles = 256;
constexpr int kEventsPerWait = 64;
// Several batches of events are read before deadlines are checked. After a
// pause of the process, calls whose answers arrived meanwhile thus don't time
// out.
constexpr int kMaxPollsPerIteration = 16;
// When a timer fires, libcurl's own clock may be some microseconds behind, so
// the timer is tried once more.
constexpr std::chrono::milliseconds kTimerRetryDelay{5};
// An iteration of the event loop normally takes some milliseconds. A longer one
// delays all calls, so each part of it that is late by more than this is
// logged.
constexpr std::chrono::milliseconds kSlowIteration{250};
// Most answers are small. By default libcurl would allocate 16 KB for each
// call, and 64 KB for each larger request body.
constexpr long kReceiveBufferBytes = 4L << 10;
constexpr long kSendBufferBytes = 16L << 10;
constexpr char kGroupPort[] = ":1";  // Never connected to.

using SteadyClock = std::chrono::steady_clock;

struct Transfer;

// Pending calls by deadline.
using Deadlines = std::multimap<SteadyClock::time_point, Transfer*>;

// Pending calls to one address. `waiting_calls` start when open ones end.
struct Address {
  std::size_t shard = 0;
  long open_calls = 0;
  std::list<std::unique_ptr<Transfer>> waiting_calls;
};
// A map, because calls keep iterators to their address.
using Addresses = std::map<std::string, Address>;

// Both ends of a connection. The local address is always the same.
struct ConnectionEnds {
  std::string peer_ip;
  int peer_port = 0;
  int local_port = 0;

  bool operator==(const ConnectionEnds&) const = default;
  bool operator<(const ConnectionEnds& other) const {
    return std::tie(local_port, peer_port, peer_ip) <
           std::tie(other.local_port, other.peer_port, other.peer_ip);
  }
};

// Numbers the connections of calls that belong to a connection group.
class NumberedConnections {
 public:
  // Returns the number of a connection on which a call is about to be sent.
  // `opened_socket` is its socket if it was opened for this call, else -1.
  std::uint64_t Identify(ConnectionEnds ends, int opened_socket) {
    if (opened_socket < 0) {
      const auto it = numbers_.find(ends);
      return it == numbers_.end() ? 0 : it->second;
    }
    ends_by_socket_[opened_socket] = ends;
    return numbers_[std::move(ends)] = ++last_number_;
  }
  void Forget(int socket) {
    const auto it = ends_by_socket_.find(socket);
    if (it != ends_by_socket_.end()) {
      numbers_.erase(it->second);
      ends_by_socket_.erase(it);
    }
  }

 private:
  std::uint64_t last_number_ = 0;
  std::map<ConnectionEnds, std::uint64_t> numbers_;
  std::unordered_map<int, ConnectionEnds> ends_by_socket_;
};

// What a client records about its sockets, for the callbacks of a call.
class SocketRecords {
 public:
  virtual ~SocketRecords() = default;
  // Drops what is recorded about a socket that was closed.
  virtual void ForgetSocket(int socket) = 0;

  NumberedConnections connections;
};

// A call with its state.
struct Transfer {
  HttpCall call;
  HttpClient::Callback callback;
  SteadyClock::time_point deadline;
  Deadlines::iterator deadline_entry;
  Addresses::iterator address;
  CURL* handle = nullptr;  // Null while the call waits for a connection.
  curl_slist* headers = nullptr;
  curl_slist* connect_to = nullptr;
  SocketRecords* sockets = nullptr;
  int opened_socket = -1;  // Socket that was opened for this call.
  HttpAnswer answer;
  std::size_t max_body_bytes = 0;
  // Whether libcurl was allowed to write the request to a connection.
  bool write_begun = false;

  // libcurl repeats a request when a reused connection ends before an answer.
  // The peer may have executed the first copy, and the answer to the second one
  // says nothing about it.
  bool MayWrite() const { return !write_begun || call.idempotent; }

  ~Transfer() {
    curl_slist_free_all(headers);
    curl_slist_free_all(connect_to);
  }
};

// Returns the part of a URL before the path, such as "http://ip:port".
std::string OriginOf(const std::string& url) {
  const auto scheme = url.find("://");
  const auto begin = scheme == std::string::npos ? 0 : scheme + 3;
  return url.substr(0, url.find('/', begin));
}

// Makes libcurl keep the connections of the call's group apart: to libcurl the
// group is the name of the host, and the address is where to connect. It checks
// all idle connections with the same address to connect to and the same port in
// the URL, with a system call for each, so the group has a port of its own.
void SetConnectionGroup(Transfer& transfer, CURL* handle) {
  const auto& call = transfer.call;
  const auto origin = OriginOf(call.url);
  const auto scheme_end = origin.find("://") + 3;
  const auto address = origin.substr(scheme_end);
  const auto url = origin.substr(0, scheme_end) + call.connection_group +
                   kGroupPort + call.url.substr(origin.size());
  transfer.connect_to =
      curl_slist_append(transfer.connect_to, ("::" + address).c_str());
  transfer.headers =
      curl_slist_append(transfer.headers, ("Host: " + address).c_str());
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_CONNECT_TO, transfer.connect_to);
}

// Ends a call that was certainly not sent.
void FailUnsent(Transfer& transfer, const char* error) {
  transfer.answer.sent = false;
  transfer.answer.error = error;
  transfer.callback(std::move(transfer.answer));
}

// Appends received data to the body. The result 0 makes libcurl end a call
// whose body is too large.
std::size_t OnBodyData(char* data,
                       std::size_t size,
                       std::size_t n,
                       void* self) {
  auto& transfer = *static_cast<Transfer*>(self);
  const std::size_t bytes = size * n;
  if (transfer.answer.body.size() + bytes > transfer.max_body_bytes) {
    return 0;
  }
  transfer.answer.body.append(data, bytes);
  return bytes;
}

// Called each time before libcurl writes the request to a connection.
int OnBeforeWrite(void* self,
                  char* peer_ip,
                  char* /*local_ip*/,
                  int peer_port,
                  int local_port) {
  auto& transfer = *static_cast<Transfer*>(self);
  if (!transfer.MayWrite()) {
    return CURL_PREREQFUNC_ABORT;
  }
  if (!transfer.call.connection_group.empty()) {
    const auto number = transfer.sockets->connections.Identify(
        {peer_ip, peer_port, local_port}, transfer.opened_socket);
    if (transfer.call.connection != 0 && transfer.call.connection != number) {
      return CURL_PREREQFUNC_ABORT;
    }
    transfer.answer.connection = number;
  }
  transfer.answer.reused_connection =
      transfer.opened_socket < 0 &&
      (!transfer.write_begun || transfer.answer.reused_connection);
  transfer.write_begun = true;
  return CURL_PREREQFUNC_OK;
}

}  // namespace

// One event loop serves all connections. epoll reports only sockets with
// events, so the cost of a call does not grow with the number of open calls.
struct HttpClient::Implementation final : SocketRecords {
  Implementation() = default;
  ~Implementation() override;
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  // libcurl's state for a part of the addresses.
  struct Shard {
    Implementation* client = nullptr;
    CURLM* multi = nullptr;  // Null until first used.
    std::optional<SteadyClock::time_point> timer;
    // Whether `timer` is the second try of a timer after which libcurl set no
    // other one.
    bool timer_retried = false;
  };
  // Events of a socket for which libcurl waits.
  struct Interest {
    std::uint32_t events = 0;
    Shard* shard = nullptr;
  };

  Result<void> SetUp();
  bool SetUpShard(Shard& shard);
  void Wake() const;
  void Run();
  void StartSubmitted();
  // Starts the call, or queues it if its address has too many open calls.
  void StartOrQueue(std::unique_ptr<Transfer> transfer);
  void StartTransfer(std::unique_ptr<Transfer> transfer);
  // Starts waiting calls of the address as far as the limit allows. Erases the
  // address if it has no calls left.
  void StartWaiting(Addresses::iterator address);
  void FailWaiting(Transfer& transfer);
  void FinishCompleted();
  void FinishCompleted(Shard& shard);
  void FailOverdue();
  void FinishTransfer(CURL* handle, CURLcode code);
  CURL* AcquireHandle();
  void WaitForEvents();
  void OnEvent(const epoll_event& event);
  void OnTimer(Shard& shard);
  void RegisterSocket(int socket, std::uint32_t events);
  int EventWaitMs() const;
  void ForgetSocket(int socket) override;
  void LogIfLate(const char* part, SteadyClock::time_point expected) const;

  // Callbacks of libcurl.
  static int OnSocketChange(CURL* handle,
                            curl_socket_t socket,
                            int what,
                            void* shard,
                            void* socket_data);
  static int OnTimerChange(CURLM* multi, long timeout_ms, void* shard);
  static curl_socket_t OnOpenSocket(void* self,
                                    curlsocktype purpose,
                                    curl_sockaddr* address);
  static int OnCloseSocket(void* self, curl_socket_t socket);

  HttpClientOptions options;
  std::array<Shard, kShardCount> shards;
  int epoll_fd = -1;
  int wake_fd = -1;
  std::mutex mutex;
  std::vector<std::unique_ptr<Transfer>> submitted;
  std::unordered_map<CURL*, std::unique_ptr<Transfer>> open_transfers;
  std::vector<CURL*> pooled_handles;
  // Events for which each socket is registered with epoll. A socket stays
  // registered while its connection is idle, so that the next call needs no
  // system call for it.
  std::unordered_map<int, std::uint32_t> registered_events;
  // What libcurl waits for, by socket; no entry: nothing.
  std::unordered_map<int, Interest> interests;
  // The limit of connections to an address is enforced here, not by libcurl,
  // which has a single queue for the calls to all addresses: a call that cannot
  // be sent yet would block calls to other addresses behind it.
  Addresses addresses;
  // Deadlines are enforced here, not by libcurl, which checks the time of a
  // call only once, when the timer for it fires. If the timer fires early by
  // the time between two steps of starting the call, this check ends nothing,
  // and no other check follows.
  Deadlines deadlines;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

HttpClient::Implementation::~Implementation() {
  stopping = true;
  if (thread.joinable()) {
    Wake();
    thread.join();
  }
  for (auto& [handle, transfer] : open_transfers) {
    curl_multi_remove_handle(shards[transfer->address->second.shard].multi,
                             handle);
    curl_easy_cleanup(handle);
    transfer->answer.error = "the client is shutting down";
    transfer->callback(std::move(transfer->answer));
  }
  for (auto& [name, address] : addresses) {
    for (auto& it : address.waiting_calls) {
      FailUnsent(*it, "the client is shutting down");
    }
  }
  for (auto& it : submitted) {
    FailUnsent(*it, "the client is shutting down");
  }
  for (auto* it : pooled_handles) {
    curl_easy_cleanup(it);
  }
  for (const auto& it : shards) {
    curl_multi_cleanup(it.multi);
  }
  for (const int fd : {epoll_fd, wake_fd}) {
    if (fd >= 0) {
      close(fd);
    }
  }
}

Result<void> HttpClient::Implementation::SetUp() {
  static const CURLcode global_code = curl_global_init(CURL_GLOBAL_DEFAULT);
  epoll_fd = epoll_create1(EPOLL_CLOEXEC);
  wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = wake_fd;
  if (global_code != CURLE_OK || epoll_fd < 0 || wake_fd < 0 ||
      epoll_ctl(epoll_fd, EPOLL_CTL_ADD, wake_fd, &event) != 0) {
    return Fail(ResultCode::kUnavailable, "cannot set up the HTTP client");
  }
  thread = std::thread([this] { Run(); });
  return {};
}

bool HttpClient::Implementation::SetUpShard(Shard& shard) {
  if (shard.multi != nullptr) {
    return true;
  }
  shard.client = this;
  shard.multi = curl_multi_init();
  if (shard.multi == nullptr) {
    return false;
  }
  curl_multi_setopt(
      shard.multi, CURLMOPT_MAXCONNECTS,
      std::max(1L, kShardIdleFactor * options.max_idle_connections /
                       static_cast<long>(kShardCount)));
  curl_multi_setopt(shard.multi, CURLMOPT_SOCKETFUNCTION, &OnSocketChange);
  curl_multi_setopt(shard.multi, CURLMOPT_SOCKETDATA, &shard);
  curl_multi_setopt(shard.multi, CURLMOPT_TIMERFUNCTION, &OnTimerChange);
  curl_multi_setopt(shard.multi, CURLMOPT_TIMERDATA, &shard);
  return true;
}

void HttpClient::Implementation::Wake() const {
  const std::uint64_t one = 1;
  if (write(wake_fd, &one, sizeof(one)) < 0 && errno != EAGAIN) {
    Log(LogLevel::kError, "http", "cannot wake the HTTP client",
        {{"errno", errno}});
  }
}

int HttpClient::Implementation::OnSocketChange(CURL* /*handle*/,
                                               curl_socket_t socket,
                                               int what,
                                               void* shard,
                                               void* /*socket_data*/) {
  auto& client = *static_cast<Shard*>(shard)->client;
  if (what == CURL_POLL_REMOVE) {
    client.interests.erase(socket);
    return 0;
  }
  const auto wants = static_cast<unsigned int>(what);
  std::uint32_t events = 0;
  if ((wants & static_cast<unsigned int>(CURL_POLL_IN)) != 0) {
    events |= EPOLLIN;
  }
  if ((wants & static_cast<unsigned int>(CURL_POLL_OUT)) != 0) {
    events |= EPOLLOUT;
  }
  client.interests[socket] = {events, static_cast<Shard*>(shard)};
  client.RegisterSocket(socket, events);
  return 0;
}

void HttpClient::Implementation::RegisterSocket(int socket,
                                                std::uint32_t events) {
  const auto [it, added] = registered_events.try_emplace(socket, events);
  if (!added && it->second == events) {
    return;
  }
  it->second = events;
  epoll_event event{};
  event.events = events;
  event.data.fd = socket;
  if (epoll_ctl(epoll_fd, added ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket,
                &event) != 0) {
    Log(LogLevel::kError, "http", "cannot register a socket with epoll",
        {{"errno", errno}});
  }
}

int HttpClient::Implementation::OnTimerChange(CURLM* /*multi*/,
                                              long timeout_ms,
                                              void* shard) {
  auto& it = *static_cast<Shard*>(shard);
  it.timer.reset();
  it.timer_retried = false;
  if (timeout_ms >= 0) {
    it.timer = SteadyClock::now() + std::chrono::milliseconds(timeout_ms);
  }
  return 0;
}

// If a connection fails, libcurl closes its socket without a callback, and the
// file descriptor may be reused. The new socket is not registered with epoll,
// so what is recorded about the old one is erased here.
curl_socket_t HttpClient::Implementation::OnOpenSocket(void* self,
                                                       curlsocktype /*purpose*/,
                                                       curl_sockaddr* address) {
  auto& transfer = *static_cast<Transfer*>(self);
  if (transfer.call.connection != 0) {
    return CURL_SOCKET_BAD;
  }
  const int fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
                        address->protocol);
  transfer.sockets->ForgetSocket(fd);
  transfer.opened_socket = fd;
  return fd;
}

int HttpClient::Implementation::OnCloseSocket(void* self,
                                              curl_socket_t socket) {
  static_cast<Implementation*>(self)->ForgetSocket(socket);
  return close(socket);
}

void HttpClient::Implementation::ForgetSocket(int socket) {
  registered_events.erase(socket);
  interests.erase(socket);
  connections.Forget(socket);
}

CURL* HttpClient::Implementation::AcquireHandle() {
  if (pooled_handles.empty()) {
    return curl_easy_init();
  }
  CURL* handle = pooled_handles.back();
  pooled_handles.pop_back();
  curl_easy_reset(handle);
  return handle;
}

void HttpClient::Implementation::StartOrQueue(
    std::unique_ptr<Transfer> transfer) {
  const auto address =
      addresses.try_emplace(OriginOf(transfer->call.url)).first;
  address->second.shard =
      std::hash<std::string>()(address->first) % kShardCount;
  transfer->address = address;
  transfer->deadline_entry =
      deadlines.emplace(transfer->deadline, transfer.get());
  address->second.waiting_calls.push_back(std::move(transfer));
  StartWaiting(address);
}

void HttpClient::Implementation::StartWaiting(Addresses::iterator address) {
  auto& waiting = address->second.waiting_calls;
  const long& open_calls = address->second.open_calls;
  while (!waiting.empty() && open_calls < options.max_connections_per_address) {
    auto transfer = std::move(waiting.front());
    waiting.pop_front();
    StartTransfer(std::move(transfer));
  }
  if (waiting.empty() && open_calls == 0) {
    addresses.erase(address);
  }
}

// Ends a call whose deadline passed before it could be sent.
void HttpClient::Implementation::FailWaiting(Transfer& transfer) {
  auto& waiting = transfer.address->second.waiting_calls;
  const auto it =
      std::find_if(waiting.begin(), waiting.end(),
                   [&](const auto& entry) { return entry.get() == &transfer; });
  const auto taken = std::move(*it);
  waiting.erase(it);
  deadlines.erase(taken->deadline_entry);
  StartWaiting(taken->address);
  FailUnsent(*taken, "no connection was free in time");
}

void HttpClient::Implementation::StartTransfer(
    std::unique_ptr<Transfer> transfer) {
  auto& shard = shards[transfer->address->second.shard];
  CURL* handle = SetUpShard(shard) ? AcquireHandle() : nullptr;
  if (handle == nullptr) {
    deadlines.erase(transfer->deadline_entry);
    FailUnsent(*transfer, "no memory for a call");
    return;
  }
  auto& call = transfer->call;
  for (const auto& it : call.headers) {
    transfer->headers = curl_slist_append(transfer->headers, it.c_str());
  }
  transfer->max_body_bytes = options.max_answer_bytes;
  transfer->sockets = this;
  if (call.connection_group.empty()) {
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
  } else {
    SetConnectionGroup(*transfer, handle);
  }
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer->headers);
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
  curl_easy_setopt(handle, CURLOPT_UPLOAD_BUFFERSIZE, kSendBufferBytes);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(options.connect_timeout.count()));
  curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(options.max_idle_time.count()));
  curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT,
                   call.fresh_connection ? 1L : 0L);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &OnBodyData);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, transfer.get());
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &OnBeforeWrite);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, transfer.get());
  curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, &OnOpenSocket);
  curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, transfer.get());
  curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &OnCloseSocket);
  curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, this);
  if (call.method == "POST") {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(call.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
  } else if (call.method != "GET") {
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  }
  transfer->handle = handle;
  ++transfer->address->second.open_calls;
  open_transfers[handle] = std::move(transfer);
  curl_multi_add_handle(shard.multi, handle);
}

void HttpClient::Implementation::FinishTransfer(CURL* handle, CURLcode code) {
  auto node = open_transfers.extract(handle);
  auto transfer = std::move(node.mapped());
  curl_multi_remove_handle(shards[transfer->address->second.shard].multi,
                           handle);
  deadlines.erase(transfer->deadline_entry);
  auto& answer = transfer->answer;
  if (code == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    answer.status = static_cast<int>(status);
  } else {
    answer.sent = transfer->write_begun;
    long system_error = 0;
    curl_easy_getinfo(handle, CURLINFO_OS_ERRNO, &system_error);
    answer.refused = code == CURLE_COULDNT_CONNECT && !answer.sent &&
                     transfer->opened_socket >= 0 &&
                     system_error == ECONNREFUSED;
    answer.error = code == CURLE_ABORTED_BY_CALLBACK
                       ? "the connection ended before the answer"
                       : curl_easy_strerror(code);
  }
  if (pooled_handles.size() < kMaxPooledHandles) {
    pooled_handles.push_back(handle);
  } else {
    curl_easy_cleanup(handle);
  }
  --transfer->address->second.open_calls;
  StartWaiting(transfer->address);
  transfer->callback(std::move(answer));
}

void HttpClient::Implementation::StartSubmitted() {
  std::vector<std::unique_ptr<Transfer>> next;
  {
    std::lock_guard lock(mutex);
    next.swap(submitted);
  }
  for (auto& it : next) {
    StartOrQueue(std::move(it));
  }
}

void HttpClient::Implementation::FinishCompleted() {
  for (auto& it : shards) {
    if (it.multi != nullptr) {
      FinishCompleted(it);
    }
  }
}

void HttpClient::Implementation::FinishCompleted(Shard& shard) {
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(shard.multi, &left)) {
    if (message->msg == CURLMSG_DONE) {
      FinishTransfer(message->easy_handle, message->data.result);
    }
  }
}

void HttpClient::Implementation::FailOverdue() {
  const auto now = SteadyClock::now();
  while (!deadlines.empty() && deadlines.begin()->first <= now) {
    auto& transfer = *deadlines.begin()->second;
    if (transfer.handle == nullptr) {
      FailWaiting(transfer);
    } else {
      FinishTransfer(transfer.handle, CURLE_OPERATION_TIMEDOUT);
    }
  }
}

int HttpClient::Implementation::EventWaitMs() const {
  auto next = SteadyClock::time_point::max();
  for (const auto& it : shards) {
    next = std::min(next, it.timer.value_or(next));
  }
  if (!deadlines.empty()) {
    next = std::min(next, deadlines.begin()->first);
  }
  if (next == SteadyClock::time_point::max()) {
    return kIdleWaitMs;
  }
  const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(next - SteadyClock::now());
  return static_cast<int>(
      std::clamp<std::int64_t>(left.count(), 0, kIdleWaitMs));
}

void HttpClient::Implementation::OnEvent(const epoll_event& event) {
  const int socket = event.data.fd;
  if (socket == wake_fd) {
    std::uint64_t count = 0;
    // Only resets the counter; the new calls are in `submitted`.
    (void)!read(wake_fd, &count, sizeof(count));
    return;
  }
  const auto interest = interests.find(socket);
  if (interest == interests.end()) {
    // The peer closed an idle connection; libcurl detects that when it next
    // tries to use the connection.
    if (registered_events.erase(socket) > 0) {
      epoll_ctl(epoll_fd, EPOLL_CTL_DEL, socket, nullptr);
    }
    return;
  }
  int ready = 0;
  ready |= (event.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
  ready |= (event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
  ready |= (event.events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0;
  int running = 0;
  curl_multi_socket_action(interest->second.shard->multi, socket, ready,
                           &running);
}

void HttpClient::Implementation::OnTimer(Shard& shard) {
  shard.timer.reset();
  const bool retried = std::exchange(shard.timer_retried, false);
  int running = 0;
  curl_multi_socket_action(shard.multi, CURL_SOCKET_TIMEOUT, 0, &running);
  // If the timer fired before libcurl's own clock had reached its time, libcurl
  // does nothing and does not set it again.
  if (!shard.timer && !retried) {
    shard.timer = SteadyClock::now() + kTimerRetryDelay;
    shard.timer_retried = true;
  }
}

void HttpClient::Implementation::WaitForEvents() {
  std::array<epoll_event, kEventsPerWait> events;
  const int wait_ms = EventWaitMs();
  const auto begin = SteadyClock::now();
  int n = epoll_wait(epoll_fd, events.data(), kEventsPerWait, wait_ms);
  LogIfLate("wait", begin + std::chrono::milliseconds(wait_ms));
  auto part_begin = SteadyClock::now();
  for (int polls = 1; n > 0; ++polls) {
    for (int i = 0; i < n; ++i) {
      OnEvent(events[static_cast<std::size_t>(i)]);
    }
    if (n < kEventsPerWait || polls == kMaxPollsPerIteration) {
      break;
    }
    n = epoll_wait(epoll_fd, events.data(), kEventsPerWait, 0);
  }
  LogIfLate("events", part_begin);
  part_begin = SteadyClock::now();
  for (auto& it : shards) {
    if (it.timer && *it.timer <= part_begin) {
      OnTimer(it);
    }
  }
  LogIfLate("timers", part_begin);
}

// Logs a warning if a part of an iteration that should have ended at `expected`
// took much longer.
void HttpClient::Implementation::LogIfLate(
    const char* part,
    SteadyClock::time_point expected) const {
  const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(
      SteadyClock::now() - expected);
  if (late > kSlowIteration) {
    Log(LogLevel::kWarning, "http",
        "the event loop of the HTTP client was delayed",
        {{"part", part},
         {"late_ms", late.count()},
         {"open", open_transfers.size()}});
  }
}

void HttpClient::Implementation::Run() {
  while (!stopping) {
    auto begin = SteadyClock::now();
    StartSubmitted();
    LogIfLate("begin", begin);
    WaitForEvents();
    begin = SteadyClock::now();
    FinishCompleted();
    FailOverdue();
    LogIfLate("finish", begin);
  }
}

HttpClient::HttpClient(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

HttpClient::~HttpClient() = default;

Result<std::unique_ptr<HttpClient>> HttpClient::Create(
    const HttpClientOptions& options) {
  auto implementation = std::make_unique<Implementation>();
  implementation->options = options;
  if (auto ready = implementation->SetUp(); !ready) {
    return tl::unexpected(ready.error());
  }
  return std::unique_ptr<HttpClient>(new HttpClient(std::move(implementation)));
}

void HttpClient::Send(HttpCall call, Callback callback) {
  auto transfer = std::make_unique<Transfer>();
  transfer->deadline = SteadyClock::now() + call.timeout;
  transfer->call = std::move(call);
  transfer->callback = std::move(callback);
  bool first = false;
  {
    std::lock_guard lock(implementation_->mutex);
    first = implementation_->submitted.empty();
    implementation_->submitted.push_back(std::move(transfer));
  }
  if (first) {
    implementation_->Wake();
  }
}

HttpAnswer HttpClient::Call(HttpCall call) {
  std::promise<HttpAnswer> promise;
  auto future = promise.get_future();
  Send(std::move(call),
       [&promise](HttpAnswer answer) { promise.set_value(std::move(answer)); });
  return future.get();
}

}  // namespace cranberryshunt::http
