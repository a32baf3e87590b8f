#include "support/socket_owner.h"

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <filesystem>
#include <system_error>

namespace cranberryshunt::test {

namespace {

struct DiagRequest {
  nlmsghdr header{};
  inet_diag_req_v2 body{};
};

DiagRequest MakeRequest(std::uint16_t local_port, std::uint16_t peer_port) {
  DiagRequest request;
  request.header.nlmsg_len = sizeof(request);
  request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.header.nlmsg_flags = NLM_F_REQUEST;
  request.body.sdiag_family = AF_INET;
  request.body.sdiag_protocol = IPPROTO_TCP;
  request.body.idiag_states = ~0U;
  auto& id = request.body.id;
  id.idiag_sport = htons(local_port);
  id.idiag_dport = htons(peer_port);
  id.idiag_src[0] = htonl(INADDR_LOOPBACK);
  id.idiag_dst[0] = htonl(INADDR_LOOPBACK);
  id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  return request;
}

}  // namespace

std::string FindSocketInode(std::uint16_t local_port, std::uint16_t peer_port) {
  const int fd = socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  if (fd < 0) {
    return {};
  }
  const DiagRequest request = MakeRequest(local_port, peer_port);
  std::array<char, 1024> buf{};
  ssize_t n = send(fd, &request, sizeof(request), 0);
  if (n > 0) {
    n = recv(fd, buf.data(), buf.size(), 0);
  }
  close(fd);
  nlmsghdr header{};
  inet_diag_msg message{};
  if (n < static_cast<ssize_t>(NLMSG_HDRLEN + sizeof(message))) {
    return {};
  }
  std::memcpy(&header, buf.data(), sizeof(header));
  std::memcpy(&message, buf.data() + NLMSG_HDRLEN, sizeof(message));
  return header.nlmsg_type == SOCK_DIAG_BY_FAMILY
             ? std::to_string(message.idiag_inode)
             : std::string();
}

bool OwnsSocket(pid_t pid, const std::string& inode) {
  const std::string socket_link = "socket:[" + inode + "]";
  std::error_code ec;
  const std::string folder = "/proc/" + std::to_string(pid) + "/fd";
  for (const auto& item : std::filesystem::directory_iterator(folder, ec)) {
    std::error_code link_error;
    if (std::filesystem::read_symlink(item.path(), link_error).string() ==
        socket_link) {
      return true;
    }
  }
  return false;
}

}  // namespace cranberryshunt::test
