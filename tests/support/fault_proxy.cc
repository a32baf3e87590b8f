#include "support/fault_proxy.h"

#include <array>
#include <deque>
#include <future>
#include <list>
#include <thread>
#include <utility>
#include <vector>

// This version of Asio uses <utility> without including it.
#include <boost/asio.hpp>

namespace cranberryshunt::test {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kReadBytes = 65'536;
// Reading pauses at this limit, so that the sender blocks as it does when the
// socket buffer of a peer is full.
constexpr std::size_t kMaxHeldBytes = 4 << 20;

struct Fault {
  Link link;
  std::chrono::milliseconds delay{0};
  bool cut = false;
  bool frozen[2] = {false, false};  // To the server, to the client.
};

bool Matches(const Link& pattern, const Link& link) {
  return (pattern.source.empty() || pattern.source == link.source) &&
         (pattern.destination.empty() ||
          pattern.destination == link.destination);
}

bool SameLink(const Link& left, const Link& right) {
  return left.source == right.source && left.destination == right.destination;
}

struct Connection;

// One direction of a connection.
struct Pipe {
  Pipe(asio::io_context& context, int direction)
      : timer(context), direction(direction) {}

  struct Chunk {
    SteadyClock::time_point deliver_at;
    std::string bytes;  // Empty at the end of the stream.
  };

  asio::steady_timer timer;
  const int direction;  // 0: to the server, 1: to the client.
  std::deque<Chunk> chunks;
  std::array<char, kReadBytes> buffer{};
  std::size_t held_bytes = 0;
  bool reading = false;
  bool writing = false;
  bool read_ended = false;
};

struct Connection {
  Connection(asio::io_context& context, tcp::socket socket)
      : client(std::move(socket)),
        server(context),
        pipes{Pipe(context, 0), Pipe(context, 1)} {}

  tcp::socket& from(const Pipe& pipe) {
    return pipe.direction == 0 ? client : server;
  }
  tcp::socket& to(const Pipe& pipe) {
    return pipe.direction == 0 ? server : client;
  }
  void Close() {
    error_code ec;
    client.close(ec);
    server.close(ec);
    pipes[0].timer.cancel();
    pipes[1].timer.cancel();
  }

  Link link;
  tcp::socket client;
  tcp::socket server;
  Pipe pipes[2];
  bool frozen = false;     // By FreezeOpenConnections().
  std::int64_t bytes = 0;  // Delivered in both directions.
};

using ConnectionPointer = std::shared_ptr<Connection>;

struct Listener {
  Listener(asio::io_context& context, std::string destination)
      : acceptor(context), destination(std::move(destination)) {}

  tcp::acceptor acceptor;
  std::string destination;
  std::uint16_t listen_port = 0;
  tcp::endpoint target;
};

tcp::endpoint EndpointOf(const std::string& address) {
  const auto colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

}  // namespace

struct FaultProxy::Implementation {
  explicit Implementation(SourceResolver resolve_source)
      : resolve_source(std::move(resolve_source)),
        work(asio::make_work_guard(context)) {}

  // Runs `action` on the proxy's thread and waits until it has returned.
  template <typename Action>
  void RunAndWait(Action action) {
    std::promise<void> done;
    asio::post(context, [&] {
      action();
      done.set_value();
    });
    done.get_future().wait();
  }

  void AcceptNext(Listener& listener);
  void OpenConnection(Listener& listener, tcp::socket socket);
  void Read(const ConnectionPointer& connection, Pipe& pipe);
  void ScheduleDelivery(const ConnectionPointer& connection, Pipe& pipe);
  void Deliver(const ConnectionPointer& connection, Pipe& pipe);
  // Combines all faults whose link matches.
  Fault EffectiveFault(const Link& link) const;
  // Returns the fault of exactly this link, added when missing.
  Fault& FindOrAddFault(const Link& link);
  void ApplyFaults(const Link& link);
  template <typename Action>
  void ForEachConnection(const Link& link, Action action);

  SourceResolver resolve_source;
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  std::list<Listener> listeners;
  std::list<ConnectionPointer> connections;
  std::vector<Fault> faults;
  // Bytes delivered on closed connections that are not in `connections` any
  // more.
  std::int64_t bytes_of_closed = 0;
  std::thread thread;
};

Fault FaultProxy::Implementation::EffectiveFault(const Link& link) const {
  Fault out;
  for (const auto& fault : faults) {
    if (Matches(fault.link, link)) {
      out.delay = std::max(out.delay, fault.delay);
      out.cut = out.cut || fault.cut;
      out.frozen[0] = out.frozen[0] || fault.frozen[0];
      out.frozen[1] = out.frozen[1] || fault.frozen[1];
    }
  }
  return out;
}

Fault& FaultProxy::Implementation::FindOrAddFault(const Link& link) {
  for (auto& fault : faults) {
    if (SameLink(fault.link, link)) {
      return fault;
    }
  }
  return faults.emplace_back(Fault{.link = link});
}

template <typename Action>
void FaultProxy::Implementation::ForEachConnection(const Link& link,
                                                   Action action) {
  std::erase_if(connections, [&](const ConnectionPointer& it) {
    const bool closed = !it->client.is_open();
    bytes_of_closed += closed ? it->bytes : 0;
    return closed;
  });
  for (const auto& connection : connections) {
    if (Matches(link, connection->link)) {
      action(connection);
    }
  }
}

// Closes open connections that are cut now and resumes delivery on the others
// unless they are frozen.
void FaultProxy::Implementation::ApplyFaults(const Link& link) {
  ForEachConnection(link, [&](const ConnectionPointer& connection) {
    if (EffectiveFault(connection->link).cut) {
      connection->Close();
      return;
    }
    for (auto& pipe : connection->pipes) {
      ScheduleDelivery(connection, pipe);
    }
  });
}

void FaultProxy::Implementation::AcceptNext(Listener& listener) {
  listener.acceptor.async_accept([&](error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted) {
      return;
    }
    if (!ec) {
      OpenConnection(listener, std::move(socket));
    }
    AcceptNext(listener);
  });
}

void FaultProxy::Implementation::OpenConnection(Listener& listener,
                                                tcp::socket socket) {
  error_code ec;
  const auto peer = socket.remote_endpoint(ec);
  if (ec) {
    return;
  }
  auto connection = std::make_shared<Connection>(context, std::move(socket));
  connection->link = {resolve_source(peer.port(), listener.listen_port),
                      listener.destination};
  if (EffectiveFault(connection->link).cut) {
    return;
  }
  connections.push_back(connection);
  connection->server.async_connect(
      listener.target, [this, connection](error_code connect_error) {
        if (connect_error) {
          connection->Close();
          return;
        }
        error_code ignored;
        connection->client.set_option(tcp::no_delay(true), ignored);
        connection->server.set_option(tcp::no_delay(true), ignored);
        for (auto& pipe : connection->pipes) {
          Read(connection, pipe);
        }
      });
}

void FaultProxy::Implementation::Read(const ConnectionPointer& connection,
                                      Pipe& pipe) {
  if (pipe.reading || pipe.read_ended || pipe.held_bytes >= kMaxHeldBytes) {
    return;
  }
  pipe.reading = true;
  connection->from(pipe).async_read_some(
      asio::buffer(pipe.buffer),
      [this, connection, &pipe](error_code ec, std::size_t n) {
        pipe.reading = false;
        pipe.read_ended = static_cast<bool>(ec);
        const auto deliver_at =
            SteadyClock::now() + EffectiveFault(connection->link).delay;
        pipe.chunks.push_back({deliver_at, std::string(pipe.buffer.data(), n)});
        pipe.held_bytes += n;
        Read(connection, pipe);
        ScheduleDelivery(connection, pipe);
      });
}

void FaultProxy::Implementation::ScheduleDelivery(
    const ConnectionPointer& connection,
    Pipe& pipe) {
  const bool frozen = connection->frozen ||
                      EffectiveFault(connection->link).frozen[pipe.direction];
  if (pipe.writing || pipe.chunks.empty() || frozen ||
      !connection->client.is_open()) {
    return;
  }
  pipe.writing = true;
  pipe.timer.expires_at(pipe.chunks.front().deliver_at);
  pipe.timer.async_wait([this, connection, &pipe](error_code ec) {
    pipe.writing = false;
    const bool frozen_meanwhile =
        connection->frozen ||
        EffectiveFault(connection->link).frozen[pipe.direction];
    if (!ec && !frozen_meanwhile) {
      Deliver(connection, pipe);
    }
  });
}

void FaultProxy::Implementation::Deliver(const ConnectionPointer& connection,
                                         Pipe& pipe) {
  if (pipe.chunks.front().bytes.empty()) {
    error_code ec;
    connection->to(pipe).shutdown(tcp::socket::shutdown_send, ec);
    pipe.chunks.clear();
    if (connection->pipes[0].read_ended && connection->pipes[1].read_ended) {
      connection->Close();
    }
    return;
  }
  pipe.writing = true;
  asio::async_write(connection->to(pipe),
                    asio::buffer(pipe.chunks.front().bytes),
                    [this, connection, &pipe](error_code ec, std::size_t n) {
                      pipe.writing = false;
                      if (ec) {
                        connection->Close();
                        return;
                      }
                      connection->bytes += static_cast<std::int64_t>(n);
                      pipe.held_bytes -= n;
                      pipe.chunks.pop_front();
                      Read(connection, pipe);
                      ScheduleDelivery(connection, pipe);
                    });
}

FaultProxy::FaultProxy(SourceResolver resolve_source)
    : implementation_(
          std::make_unique<Implementation>(std::move(resolve_source))) {
  implementation_->thread =
      std::thread([this] { implementation_->context.run(); });
}

FaultProxy::~FaultProxy() {
  implementation_->context.stop();
  implementation_->thread.join();
}

bool FaultProxy::Listen(const std::string& destination,
                        std::uint16_t listen_port,
                        std::uint16_t target_port) {
  const std::string ip = "127.0.0.1:";
  return ListenAt(destination, ip + std::to_string(listen_port),
                  ip + std::to_string(target_port));
}

bool FaultProxy::ListenAt(const std::string& destination,
                          const std::string& listen_address,
                          const std::string& target_address) {
  bool listening = false;
  implementation_->RunAndWait([&] {
    auto& listeners = implementation_->listeners;
    auto& listener =
        listeners.emplace_back(implementation_->context, destination);
    const auto endpoint = EndpointOf(listen_address);
    listener.listen_port = endpoint.port();
    listener.target = EndpointOf(target_address);
    error_code ec;
    listener.acceptor.open(tcp::v4(), ec);
    listener.acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    listener.acceptor.bind(endpoint, ec);
    if (!ec) {
      listener.acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    listening = !ec;
    if (listening) {
      implementation_->AcceptNext(listener);
    }
  });
  return listening;
}

void FaultProxy::Delay(const Link& link, std::chrono::milliseconds one_way) {
  implementation_->RunAndWait(
      [&] { implementation_->FindOrAddFault(link).delay = one_way; });
}

void FaultProxy::Cut(const Link& link) {
  implementation_->RunAndWait([&] {
    implementation_->FindOrAddFault(link).cut = true;
    implementation_->ApplyFaults(link);
  });
}

void FaultProxy::Freeze(const Link& link, Direction direction) {
  implementation_->RunAndWait([&] {
    auto& fault = implementation_->FindOrAddFault(link);
    fault.frozen[0] = fault.frozen[0] || direction != Direction::kToClient;
    fault.frozen[1] = fault.frozen[1] || direction != Direction::kToServer;
  });
}

void FaultProxy::Heal(const Link& link) {
  implementation_->RunAndWait([&] {
    std::erase_if(implementation_->faults, [&](const Fault& fault) {
      return SameLink(fault.link, link);
    });
    implementation_->ApplyFaults(link);
  });
}

void FaultProxy::FreezeOpenConnections(const Link& link) {
  implementation_->RunAndWait([&] {
    implementation_->ForEachConnection(
        link, [](const ConnectionPointer& it) { it->frozen = true; });
  });
}

void FaultProxy::FreezeFor(const Link& link,
                           std::chrono::milliseconds duration) {
  Freeze(link, Direction::kBoth);
  implementation_->RunAndWait([&] {
    auto timer = std::make_shared<asio::steady_timer>(implementation_->context,
                                                      duration);
    timer->async_wait([this, link, timer](error_code) {
      std::erase_if(implementation_->faults, [&](const Fault& fault) {
        return SameLink(fault.link, link);
      });
      implementation_->ApplyFaults(link);
    });
  });
}

void FaultProxy::CloseOpenConnections(const Link& link) {
  implementation_->RunAndWait([&] {
    implementation_->ForEachConnection(
        link, [](const ConnectionPointer& it) { it->Close(); });
  });
}

std::int64_t FaultProxy::BytesDelivered(const Link& link) {
  std::int64_t bytes = 0;
  implementation_->RunAndWait([&] {
    const bool all = link.source.empty() && link.destination.empty();
    implementation_->ForEachConnection(
        link, [&](const ConnectionPointer& it) { bytes += it->bytes; });
    bytes += all ? implementation_->bytes_of_closed : 0;
  });
  return bytes;
}

}  // namespace cranberryshunt::test
