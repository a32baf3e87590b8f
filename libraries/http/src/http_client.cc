#include "cranberryshunt/http/http_client.h"

#include <curl/curl.h>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

#include "cranberryshunt/base/log.h"

namespace cranberryshunt::http {

namespace {

constexpr int kIdlePollMs = 1'000;
constexpr std::size_t kMaxPooledHandles = 256;

struct Transfer {
  HttpCall call;
  HttpClient::Callback callback;
  curl_slist* headers = nullptr;
  HttpAnswer answer;
  std::size_t max_bytes = 0;

  ~Transfer() { curl_slist_free_all(headers); }
};

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

struct HttpClient::Implementation {
  ~Implementation();

  void Run();
  void Begin(std::unique_ptr<Transfer> transfer);
  void Finish(CURL* handle, CURLcode code);
  CURL* TakeHandle();

  HttpClientOptions options;
  CURLM* multi = nullptr;
  std::mutex mutex;
  std::vector<std::unique_ptr<Transfer>> queued;
  std::unordered_map<CURL*, std::unique_ptr<Transfer>> open;
  std::vector<CURL*> pooled;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

HttpClient::Implementation::~Implementation() {
  stopping = true;
  if (thread.joinable()) {
    curl_multi_wakeup(multi);
    thread.join();
  }
  for (auto& [handle, transfer] : open) {
    curl_multi_remove_handle(multi, handle);
    curl_easy_cleanup(handle);
    transfer->answer.error = "the client is shutting down";
    transfer->callback(std::move(transfer->answer));
  }
  for (auto* it : pooled) {
    curl_easy_cleanup(it);
  }
  curl_multi_cleanup(multi);
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
  CURL* handle = TakeHandle();
  if (handle == nullptr) {
    transfer->answer.sent = false;
    transfer->answer.error = "no memory for a call";
    transfer->callback(std::move(transfer->answer));
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
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(call.timeout.count()));
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(options.connect_timeout.count()));
  curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT,
                   call.fresh_connection ? 1L : 0L);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, transfer.get());
  if (call.method == "POST") {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(call.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
  } else if (call.method != "GET") {
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  }
  open[handle] = std::move(transfer);
  curl_multi_add_handle(multi, handle);
}

void HttpClient::Implementation::Finish(CURL* handle, CURLcode code) {
  auto node = open.extract(handle);
  curl_multi_remove_handle(multi, handle);
  auto transfer = std::move(node.mapped());
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
  transfer->callback(std::move(answer));
}

void HttpClient::Implementation::Run() {
  while (!stopping) {
    std::vector<std::unique_ptr<Transfer>> next;
    {
      std::lock_guard lock(mutex);
      next.swap(queued);
    }
    for (auto& it : next) {
      Begin(std::move(it));
    }
    int running = 0;
    curl_multi_perform(multi, &running);
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi, &left)) {
      if (message->msg == CURLMSG_DONE) {
        Finish(message->easy_handle, message->data.result);
      }
    }
    curl_multi_poll(multi, nullptr, 0, kIdlePollMs, nullptr);
  }
}

HttpClient::HttpClient(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

HttpClient::~HttpClient() = default;

Result<std::unique_ptr<HttpClient>> HttpClient::Create(
    const HttpClientOptions& options) {
  static const CURLcode global_code = curl_global_init(CURL_GLOBAL_DEFAULT);
  auto implementation = std::make_unique<Implementation>();
  implementation->options = options;
  implementation->multi = curl_multi_init();
  if (global_code != CURLE_OK || implementation->multi == nullptr) {
    return Fail(ResultCode::kUnavailable, "cannot set up the HTTP client");
  }
  curl_multi_setopt(implementation->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                    options.max_connections_per_address);
  curl_multi_setopt(implementation->multi, CURLMOPT_MAXCONNECTS,
                    options.max_idle_connections);
  implementation->thread =
      std::thread([raw = implementation.get()] { raw->Run(); });
  return std::unique_ptr<HttpClient>(new HttpClient(std::move(implementation)));
}

void HttpClient::Send(HttpCall call, Callback callback) {
  auto transfer = std::make_unique<Transfer>();
  transfer->call = std::move(call);
  transfer->callback = std::move(callback);
  bool first = false;
  {
    std::lock_guard lock(implementation_->mutex);
    first = implementation_->queued.empty();
    implementation_->queued.push_back(std::move(transfer));
  }
  if (first) {
    curl_multi_wakeup(implementation_->multi);
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
