// A TCP proxy that injects delays, cuts and silence. Runs on a thread of its
// own.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_FAULT_PROXY_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_FAULT_PROXY_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cranberryshunt::test {

enum class Direction { kToServer, kToClient, kBoth };

// Selects connections by the names of both ends; an empty name matches any.
struct Link {
  std::string source;
  std::string destination;
};

class FaultProxy {
 public:
  // Returns the name of the process that opened a connection from local port
  // `port` to `listen_port`, where the proxy listens. Called on the proxy's
  // thread.
  using SourceResolver =
      std::function<std::string(std::uint16_t port, std::uint16_t listen_port)>;

  explicit FaultProxy(SourceResolver resolve_source);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  // Listens on `listen_port` and connects to `target_port`, both of 127.0.0.1.
  // `destination` names the process at `target_port`. Returns false when the
  // proxy cannot listen, for example because the port is in use.
  bool Listen(const std::string& destination,
              std::uint16_t listen_port,
              std::uint16_t target_port);

  // Like Listen(), with any IPv4 addresses in the form "ip:port".
  bool ListenAt(const std::string& destination,
                const std::string& listen_address,
                const std::string& target_address);

  // Delay(), Cut() and Freeze() last until Heal() with the same link.

  // Delays what is read from now on by `one_way` in each direction.
  void Delay(const Link& link, std::chrono::milliseconds one_way);
  // Closes open connections and refuses new ones.
  void Cut(const Link& link);
  // Stops delivery on open and new connections without closing them. Heal()
  // resumes it with the data held so far.
  void Freeze(const Link& link, Direction direction);
  // Removes the faults of exactly this link.
  void Heal(const Link& link);

  // Stops delivery for good on the connections that are open now. Connections
  // opened later are not affected.
  void FreezeOpenConnections(const Link& link);
  // Freezes both directions and heals the link after `duration`, without
  // blocking.
  void FreezeFor(const Link& link, std::chrono::milliseconds duration);
  void CloseOpenConnections(const Link& link);

  // Bytes delivered in both directions. Closed connections count only when both
  // names of the link are empty.
  std::int64_t BytesDelivered(const Link& link);

 private:
  struct Implementation;

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_FAULT_PROXY_H_
