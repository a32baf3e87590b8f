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
#include <unordered_map>
#include <utility>

#include "cranberryshunt/base/log.h"

namespace cranberryshunt::http {

namespace {

constexpr int kIdleWaitMs = 1'000;
// libcurl looks at all idle connections of a handle each second, with a system
// call for each, and starts anew after each dead one. A leader with 500 of them
// on a busy machine, where another thread runs at each such call, was held up
// for up to 19 s, so the addresses are spread over handles.
constexpr std::size_t kShards = 32;
// Room for an uneven spread.
constexpr long kShardIdleFactor = 2;
constexpr std::size_t kMaxPooledHandles = 256;
constexpr int kEventsPerWait = 64;
// After a pause of the process, answers that came meanwhile are read before
// their calls count as overdue.
constexpr int kMaxWaitsPerTurn = 16;
// libcurl's clock may be some microseconds behind when its timer fires.
constexpr std::chrono::milliseconds kTimerCheck{5};
// A turn of the loop takes some milliseconds. All calls are late by a turn that
// takes longer than this.
constexpr std::chrono::milliseconds kSlowTurn{250};
// Most answers are small; libcurl would allocate 16 KB for each call, and 64 KB
// for each larger body.
constexpr long kReceiveBufferBytes = 4L << 10;
constexpr long kSendBufferBytes = 16L << 10;

using SteadyClock = std::chrono::steady_clock;

struct Transfer;

// Calls by the time at which they end without an answer.
using Deadlines = std::multimap<SteadyClock::time_point, Transfer*>;

// The calls to one address.
struct Address {
  std::size_t shard = 0;
  long open = 0;
  std::list<std::unique_ptr<Transfer>> waiting;  // For an open one to end.
};
// Calls keep the place of their address, which must last as others come.
using Addresses = std::map<std::string, Address>;

struct Transfer {
  HttpCall call;
  HttpClient::Callback callback;
  SteadyClock::time_point due;
  Deadlines::iterator deadline;
  Addresses::iterator address;
  CURL* handle = nullptr;  // Null while it waits.
  curl_slist* headers = nullptr;
  HttpAnswer answer;
  std::size_t max_bytes = 0;

  ~Transfer() { curl_slist_free_all(headers); }
};

// The part of an URL that names the peer.
std::string AddressOf(const std::string& url) {
  const auto scheme = url.find("://");
  const auto begin = scheme == std::string::npos ? 0 : scheme + 3;
  return url.substr(0, url.find('/', begin));
}

void EndUnsent(Transfer& transfer, const char* error) {
  transfer.answer.sent = false;
  transfer.answer.error = error;
  transfer.callback(std::move(transfer.answer));
}

std::size_t OnBody(char* data, std::size_t size, std::size_t n, void* self) {
  auto& transfer = *static_cast<Transfer*>(self);
  const std::size_t bytes = size * n;
  if (transfer.answer.body.size() + bytes > transfer.max_bytes) {
    return 0;
  }
  transfer.answer.body.append(data, bytes);
  return bytes;
}

}  // namespace

// One event loop over all connections. The kernel reports only sockets with
// news, so the cost of a call does not grow with the number of open ones.
struct HttpClient::Implementation {
  Implementation() = default;
  ~Implementation();
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  // libcurl's state of a part of the addresses.
  struct Shard {
    Implementation* client = nullptr;
    CURLM* multi = nullptr;  // Null until it is first used.
    std::optional<SteadyClock::time_point> timer;
    bool timer_checked = false;  // A timer that led to no other; tried again.
  };
  struct Interest {
    std::uint32_t events = 0;
    Shard* shard = nullptr;
  };

  Result<void> SetUp();
  bool SetUpShard(Shard& shard);
  void Wake() const;
  void Run();
  void BeginQueued();
  // Opens the call, or lets it wait while its address has too many open.
  void Begin(std::unique_ptr<Transfer> transfer);
  void Open(std::unique_ptr<Transfer> transfer);
  void OpenNext(Addresses::iterator address);
  void GiveUpWaiting(Transfer& transfer);
  void FinishDone();
  void FinishDone(Shard& shard);
  void FinishOverdue();
  void Finish(CURL* handle, CURLcode code);
  CURL* TakeHandle();
  void WaitForEvents();
  void OnEvent(const epoll_event& event);
  void OnTimer(Shard& shard);
  void Watch(int socket, std::uint32_t events);
  int WaitMs() const;
  void NoteDuration(const char* part, SteadyClock::time_point expected) const;

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
  std::array<Shard, kShards> shards;
  int epoll_fd = -1;
  int wake_fd = -1;
  std::mutex mutex;
  std::vector<std::unique_ptr<Transfer>> queued;
  std::unordered_map<CURL*, std::unique_ptr<Transfer>> open;
  std::vector<CURL*> pooled;
  // Events that epoll reports for each socket. A socket stays registered while
  // its connection is idle, so that the next call needs no system call for it.
  std::unordered_map<int, std::uint32_t> registered;
  std::unordered_map<int, Interest> wanted;  // By libcurl; absent: none.
  // The bound on connections to an address is kept here: libcurl has one queue
  // for the calls to all addresses, in which calls that could be sent stay
  // behind others that cannot.
  Addresses addresses;
  // libcurl looks at the time of a call once, when the timer that it set for it
  // fires. A look that comes early by the time between two steps of starting
  // the call finds nothing to end, and no other follows. So calls are ended
  // here.
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
  for (auto& [handle, transfer] : open) {
    curl_multi_remove_handle(shards[transfer->address->second.shard].multi,
                             handle);
    curl_easy_cleanup(handle);
    transfer->answer.error = "the client is shutting down";
    transfer->callback(std::move(transfer->answer));
  }
  for (auto& [name, address] : addresses) {
    for (auto& it : address.waiting) {
      EndUnsent(*it, "the client is shutting down");
    }
  }
  for (auto& it : queued) {
    EndUnsent(*it, "the client is shutting down");
  }
  for (auto* it : pooled) {
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
                       static_cast<long>(kShards)));
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
    client.wanted.erase(socket);
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
  client.wanted[socket] = {events, static_cast<Shard*>(shard)};
  client.Watch(socket, events);
  return 0;
}

void HttpClient::Implementation::Watch(int socket, std::uint32_t events) {
  const auto [it, added] = registered.try_emplace(socket, events);
  if (!added && it->second == events) {
    return;
  }
  it->second = events;
  epoll_event event{};
  event.events = events;
  event.data.fd = socket;
  if (epoll_ctl(epoll_fd, added ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket,
                &event) != 0) {
    Log(LogLevel::kError, "http", "cannot watch a socket", {{"errno", errno}});
  }
}

int HttpClient::Implementation::OnTimerChange(CURLM* /*multi*/,
                                              long timeout_ms,
                                              void* shard) {
  auto& it = *static_cast<Shard*>(shard);
  it.timer.reset();
  it.timer_checked = false;
  if (timeout_ms >= 0) {
    it.timer = SteadyClock::now() + std::chrono::milliseconds(timeout_ms);
  }
  return 0;
}

// A socket whose connection failed is closed without a callback. Its number may
// come again, and then the set does not know it.
curl_socket_t HttpClient::Implementation::OnOpenSocket(void* self,
                                                       curlsocktype /*purpose*/,
                                                       curl_sockaddr* address) {
  auto& client = *static_cast<Implementation*>(self);
  const int fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
                        address->protocol);
  client.registered.erase(fd);
  client.wanted.erase(fd);
  return fd;
}

int HttpClient::Implementation::OnCloseSocket(void* self,
                                              curl_socket_t socket) {
  auto& client = *static_cast<Implementation*>(self);
  client.registered.erase(socket);
  client.wanted.erase(socket);
  return close(socket);
}

CURL* HttpClient::Implementation::TakeHandle() {
  if (pooled.empty()) {
    return curl_easy_init();
  }
  CURL* handle = pooled.back();
  pooled.pop_back();
  curl_easy_reset(handle);
  return handle;
}

void HttpClient::Implementation::Begin(std::unique_ptr<Transfer> transfer) {
  const auto address =
      addresses.try_emplace(AddressOf(transfer->call.url)).first;
  address->second.shard = std::hash<std::string>()(address->first) % kShards;
  transfer->address = address;
  transfer->deadline = deadlines.emplace(transfer->due, transfer.get());
  address->second.waiting.push_back(std::move(transfer));
  OpenNext(address);
}

void HttpClient::Implementation::OpenNext(Addresses::iterator address) {
  auto& waiting = address->second.waiting;
  const long& open_calls = address->second.open;
  while (!waiting.empty() && open_calls < options.max_connections_per_address) {
    auto transfer = std::move(waiting.front());
    waiting.pop_front();
    Open(std::move(transfer));
  }
  if (waiting.empty() && open_calls == 0) {
    addresses.erase(address);
  }
}

// Ends a call whose time passed before it could be sent.
void HttpClient::Implementation::GiveUpWaiting(Transfer& transfer) {
  auto& waiting = transfer.address->second.waiting;
  const auto it =
      std::find_if(waiting.begin(), waiting.end(),
                   [&](const auto& entry) { return entry.get() == &transfer; });
  const auto taken = std::move(*it);
  waiting.erase(it);
  deadlines.erase(taken->deadline);
  OpenNext(taken->address);
  EndUnsent(*taken, "no connection was free in time");
}

void HttpClient::Implementation::Open(std::unique_ptr<Transfer> transfer) {
  auto& shard = shards[transfer->address->second.shard];
  CURL* handle = SetUpShard(shard) ? TakeHandle() : nullptr;
  if (handle == nullptr) {
    deadlines.erase(transfer->deadline);
    EndUnsent(*transfer, "no memory for a call");
    return;
  }
  auto& call = transfer->call;
  for (const auto& it : call.headers) {
    transfer->headers = curl_slist_append(transfer->headers, it.c_str());
  }
  transfer->max_bytes = options.max_answer_bytes;
  curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
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
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, transfer.get());
  curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, &OnOpenSocket);
  curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, this);
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
  ++transfer->address->second.open;
  open[handle] = std::move(transfer);
  curl_multi_add_handle(shard.multi, handle);
}

void HttpClient::Implementation::Finish(CURL* handle, CURLcode code) {
  auto node = open.extract(handle);
  auto transfer = std::move(node.mapped());
  curl_multi_remove_handle(shards[transfer->address->second.shard].multi,
                           handle);
  deadlines.erase(transfer->deadline);
  auto& answer = transfer->answer;
  if (code == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    answer.status = static_cast<int>(status);
  } else {
    double connect_seconds = 0;
    curl_easy_getinfo(handle, CURLINFO_PRETRANSFER_TIME, &connect_seconds);
    // Nothing was written before the connection stood.
    answer.sent = code != CURLE_COULDNT_CONNECT && connect_seconds > 0;
    answer.error = curl_easy_strerror(code);
  }
  if (pooled.size() < kMaxPooledHandles) {
    pooled.push_back(handle);
  } else {
    curl_easy_cleanup(handle);
  }
  --transfer->address->second.open;
  OpenNext(transfer->address);
  transfer->callback(std::move(answer));
}

void HttpClient::Implementation::BeginQueued() {
  std::vector<std::unique_ptr<Transfer>> next;
  {
    std::lock_guard lock(mutex);
    next.swap(queued);
  }
  for (auto& it : next) {
    Begin(std::move(it));
  }
}

void HttpClient::Implementation::FinishDone() {
  for (auto& it : shards) {
    if (it.multi != nullptr) {
      FinishDone(it);
    }
  }
}

void HttpClient::Implementation::FinishDone(Shard& shard) {
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(shard.multi, &left)) {
    if (message->msg == CURLMSG_DONE) {
      Finish(message->easy_handle, message->data.result);
    }
  }
}

void HttpClient::Implementation::FinishOverdue() {
  const auto now = SteadyClock::now();
  while (!deadlines.empty() && deadlines.begin()->first <= now) {
    auto& transfer = *deadlines.begin()->second;
    if (transfer.handle == nullptr) {
      GiveUpWaiting(transfer);
    } else {
      Finish(transfer.handle, CURLE_OPERATION_TIMEDOUT);
    }
  }
}

int HttpClient::Implementation::WaitMs() const {
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
    // Only resets the counter; the queue tells what there is to do.
    (void)!read(wake_fd, &count, sizeof(count));
    return;
  }
  const auto interest = wanted.find(socket);
  if (interest == wanted.end()) {
    // The peer closed an idle connection; libcurl notices when it next wants
    // to use it.
    if (registered.erase(socket) > 0) {
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
  const bool checked = std::exchange(shard.timer_checked, false);
  int running = 0;
  curl_multi_socket_action(shard.multi, CURL_SOCKET_TIMEOUT, 0, &running);
  // When the timer fired before libcurl's own clock had reached it, libcurl
  // does not name it again.
  if (!shard.timer && !checked) {
    shard.timer = SteadyClock::now() + kTimerCheck;
    shard.timer_checked = true;
  }
}

void HttpClient::Implementation::WaitForEvents() {
  std::array<epoll_event, kEventsPerWait> events;
  const int wait_ms = WaitMs();
  const auto begin = SteadyClock::now();
  int n = epoll_wait(epoll_fd, events.data(), kEventsPerWait, wait_ms);
  NoteDuration("wait", begin + std::chrono::milliseconds(wait_ms));
  auto part_begin = SteadyClock::now();
  for (int waits = 1; n > 0; ++waits) {
    for (int i = 0; i < n; ++i) {
      OnEvent(events[static_cast<std::size_t>(i)]);
    }
    if (n < kEventsPerWait || waits == kMaxWaitsPerTurn) {
      break;
    }
    n = epoll_wait(epoll_fd, events.data(), kEventsPerWait, 0);
  }
  NoteDuration("events", part_begin);
  part_begin = SteadyClock::now();
  for (auto& it : shards) {
    if (it.timer && *it.timer <= part_begin) {
      OnTimer(it);
    }
  }
  NoteDuration("timers", part_begin);
}

// Logs when a part of a turn that should have ended at `expected` took much
// longer.
void HttpClient::Implementation::NoteDuration(
    const char* part,
    SteadyClock::time_point expected) const {
  const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(
      SteadyClock::now() - expected);
  if (late > kSlowTurn) {
    Log(LogLevel::kWarning, "http", "the client was held up",
        {{"part", part}, {"late_ms", late.count()}, {"open", open.size()}});
  }
}

void HttpClient::Implementation::Run() {
  while (!stopping) {
    auto begin = SteadyClock::now();
    BeginQueued();
    NoteDuration("begin", begin);
    WaitForEvents();
    begin = SteadyClock::now();
    FinishDone();
    FinishOverdue();
    NoteDuration("finish", begin);
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
  transfer->due = SteadyClock::now() + call.timeout;
  transfer->call = std::move(call);
  transfer->callback = std::move(callback);
  bool first = false;
  {
    std::lock_guard lock(implementation_->mutex);
    first = implementation_->queued.empty();
    implementation_->queued.push_back(std::move(transfer));
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
