#include "connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <mutex>
#include <new>
#include <utility>

namespace cranberryshunt::targets {

namespace {

// Besides the deadline of each call, these options detect connections that no
// longer deliver anything: the kernel closes a connection if sent data is not
// acknowledged for this time.
constexpr int kTcpUserTimeoutMs = 3'000;
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr long kConnectTimeoutMs = 1'000;
// libcurl's default is 16 KiB, which hundreds of connections would each
// allocate for answers that are mostly small.
constexpr long kReceiveBufferBytes = 4'096;

int SetSocketOptions(void* /*data*/,
                     curl_socket_t socket,
                     curlsocktype /*purpose*/) {
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleSeconds,
             sizeof(kKeepAliveIdleSeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalSeconds,
             sizeof(kKeepAliveIntervalSeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes,
             sizeof(kKeepAliveProbes));
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs,
             sizeof(kTcpUserTimeoutMs));
  return CURL_SOCKOPT_OK;
}

// Where AppendBody() stores received data.
struct BodySink {
  std::string& body;
  std::size_t max_bytes;
};

// The result 0 makes libcurl end a call whose answer is too large.
std::size_t AppendBody(char* data,
                       std::size_t size,
                       std::size_t count,
                       void* user) {
  auto& sink = *static_cast<BodySink*>(user);
  const std::size_t bytes = size * count;
  if (sink.body.size() + bytes > sink.max_bytes) {
    return 0;
  }
  sink.body.append(data, bytes);
  return bytes;
}

int OnProgress(void* on_tick,
               curl_off_t /*download_total*/,
               curl_off_t /*downloaded*/,
               curl_off_t /*upload_total*/,
               curl_off_t /*uploaded*/) {
  return (*static_cast<const Connection::OnTick*>(on_tick))() ? 0 : 1;
}

void InitializeCurl() {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

template <typename T>
T GetInfo(CURL* easy, CURLINFO info) {
  T value{};
  curl_easy_getinfo(easy, info, &value);
  return value;
}

}  // namespace

Connection::Connection(std::uint64_t sequence, const std::string& token)
    : sequence_(sequence) {
  InitializeCurl();
  easy_.reset(curl_easy_init());
  if (!easy_) {
    throw std::bad_alloc();
  }
  curl_slist* list =
      curl_slist_append(nullptr, ("Authorization: Bearer " + token).c_str());
  list = curl_slist_append(list, "Content-Type: application/json");
  // Otherwise libcurl delays large bodies until the peer has answered with
  // status 100.
  list = curl_slist_append(list, "Expect:");
  headers_.reset(list);
  CURL* easy = easy_.get();
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers_.get());
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(easy, CURLOPT_MAXCONNECTS, 1L);
  curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &SetSocketOptions);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, &OnProgress);
  // The first call of a handle opens a connection, even if libcurl shares
  // connections between handles.
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
}

void Connection::SetCallOptions(const HttpCall& call) {
  CURL* easy = easy_.get();
  body_.clear();
  max_answer_bytes_ = call.max_answer_bytes;
  curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(call.body.size()));
  curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(call.timeout.count()));
}

HttpAnswer Connection::MakeAnswer(CURLcode rc) {
  CURL* easy = easy_.get();
  HttpAnswer answer;
  const long request_bytes = GetInfo<long>(easy, CURLINFO_REQUEST_SIZE);
  answer.status = GetInfo<long>(easy, CURLINFO_RESPONSE_CODE);
  answer.traffic_bytes =
      request_bytes + static_cast<std::int64_t>(body_.size());
  answer.detail = curl_easy_strerror(rc);
  answer.body = std::move(body_);
  using Result = HttpAnswer::Result;
  if (rc == CURLE_ABORTED_BY_CALLBACK) {
    answer.result = Result::kAborted;
  } else if (rc == CURLE_OK) {
    answer.result = Result::kAnswered;
  } else if (request_bytes == 0) {
    answer.result = Result::kNotSent;
  } else if (rc == CURLE_OPERATION_TIMEDOUT) {
    answer.result = Result::kTimedOut;
  }
  return answer;
}

HttpAnswer Connection::Post(const HttpCall& call, const OnTick& on_tick) {
  SetCallOptions(call);
  BodySink sink{body_, max_answer_bytes_};
  curl_easy_setopt(easy_.get(), CURLOPT_WRITEDATA, &sink);
  curl_easy_setopt(easy_.get(), CURLOPT_XFERINFODATA, &on_tick);
  HttpAnswer answer = MakeAnswer(curl_easy_perform(easy_.get()));
  curl_easy_setopt(easy_.get(), CURLOPT_FRESH_CONNECT, 0L);
  return answer;
}

}  // namespace cranberryshunt::targets
