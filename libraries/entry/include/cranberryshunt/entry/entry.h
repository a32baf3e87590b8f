// The entry process: an HTTP server for callers, targets, operators and the
// load balancer. It stores nothing on disk: jobs and their results go to the
// leader among the controllers.
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
  // Number of entries in the cell. Each opens at most the target's connection
  // limit divided by this number, so that together they stay within the limit.
  std::int32_t entry_count = 9;
  std::int32_t max_requests_in_flight = 512;
  std::size_t max_body_bytes = 1 << 20;
  // Time between reporting not ready and closing the listening socket, in
  // which the load balancer stops sending requests here.
  std::chrono::milliseconds drain_grace{2'000};
  // Longest time, after drain_grace, that Shutdown() waits for requests in
  // flight.
  std::chrono::milliseconds shutdown_limit{30'000};
};

class Entry {
 public:
  // Starts the HTTP server and the threads that call the leader. The entry is
  // ready once it holds a rules lease and the current rules revision. Fails
  // with kInvalidSettings when no controller is given or the listen address is
  // not "ip:port", and with kUnavailable when the address cannot be bound.
  static Result<std::unique_ptr<Entry>> Start(const EntryOptions& options);
  ~Entry();

  // Reports not ready, waits for drain_grace, closes the listening socket and
  // answers the requests in flight, for at most shutdown_limit. Returns the
  // number of requests that were cut off because shutdown_limit passed or
  // Abort() was called.
  std::int64_t Shutdown();
  // Ends the waits of a running Shutdown() early. May be called from another
  // thread.
  void Abort();

 private:
  struct Implementation;

  explicit Entry(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::entry

#endif  // CRANBERRYSHUNT_ENTRY_ENTRY_H_
