// The entry process: HTTP towards callers, targets, operators and the load
// balancer.
#ifndef CRANBERRYSHUNT_ENTRY_ENTRY_H_
#define CRANBERRYSHUNT_ENTRY_ENTRY_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cranberryshunt/base/result.h"

namespace cranberryshunt::entry {

struct EntryOptions {
  std::string id;
  std::string listen_address;  // "ip:port" of the HTTP server.
  std::string region;
  std::string availability_zone;
  std::vector<std::string> controllers;  // "ip:port" of each controller.
  std::string cluster_secret;
  std::string caller_token;
  std::string target_token;
  std::string operator_token;
  // Share of a target's connections that this entry may open; the entries of a
  // cell together stay within its limit.
  std::int32_t entry_count = 9;
  std::int32_t max_requests_in_flight = 512;
  std::size_t max_body_bytes = 1 << 20;
  std::chrono::milliseconds drain_grace{
      2'000};  // Between turning unready and closing the listening socket.
  std::chrono::milliseconds shutdown_limit{30'000};
};

class Entry {
 public:
  // Listens and connects to the controllers. It is ready once it has read the
  // current rules. Fails with kUnavailable when the address cannot be bound.
  static Result<std::unique_ptr<Entry>> Start(const EntryOptions& options);
  ~Entry();

  // Turns unready, waits for drain_grace, stops listening and answers
  // everything in flight. Returns the number of requests that were cut off
  // because shutdown_limit passed or Abort() was called.
  std::int64_t Shutdown();
  // Ends a running Shutdown() early; safe from another thread.
  void Abort();

 private:
  struct Implementation;

  explicit Entry(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_ENTRY_H_
