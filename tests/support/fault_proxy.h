// A TCP proxy that misbehaves on demand. Runs on one thread of its own.
#ifndef CRANBERRYSHUNT_TESTS_SUPPORT_FAULT_PROXY_H_
#define CRANBERRYSHUNT_TESTS_SUPPORT_FAULT_PROXY_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cranberryshunt::test {

enum class Direction { kToServer, kToClient, kBoth };

// Selects connections by the names of both ends; an empty name means any.
struct Link {
  std::string source;
  std::string destination;
};

class FaultProxy {
 public:
  // Names the process that opened a connection from this local port to the
  // port where the proxy listens.
  using SourceOf =
      std::function<std::string(std::uint16_t port, std::uint16_t listen_port)>;

  explicit FaultProxy(SourceOf source_of);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  // Listens on `listen_port` and connects to `target_port`, both of 127.0.0.1.
  // `destination` names the process there. Returns false when the port is
  // taken.
  bool Listen(const std::string& destination,
              std::uint16_t listen_port,
              std::uint16_t target_port);

  // The same with other addresses, "ip:port".
  bool ListenAt(const std::string& destination,
                const std::string& listen_address,
                const std::string& target_address);

  // Each lasts until Heal() of the same link.
  void Delay(const Link& link, std::chrono::milliseconds one_way);
  // Closes open connections and refuses new ones.
  void Cut(const Link& link);
  // Stops delivering without closing; the data is held and follows after
  // Heal().
  void Freeze(const Link& link, Direction direction);
  void Heal(const Link& link);

  // Stops delivering on all connections that are open now, for ever; new ones
  // pass.
  void FreezeOpen(const Link& link);
  // Freezes both directions and heals after `duration`.
  void HoldFor(const Link& link, std::chrono::milliseconds duration);
  void CloseOpen(const Link& link);

  // Bytes delivered in both directions.
  std::int64_t BytesDelivered(const Link& link);

 private:
  struct Implementation;

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cranberryshunt::test

#endif  // CRANBERRYSHUNT_TESTS_SUPPORT_FAULT_PROXY_H_
