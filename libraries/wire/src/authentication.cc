#include "cranberryshunt/wire/authentication.h"

#include "cranberryshunt/base/bytes.h"

namespace cranberryshunt::wire {

std::string ServerProof(const std::string& cluster_secret,
                        const std::string& client_id,
                        const std::string& client_nonce,
                        const std::string& server_nonce) {
  return HmacSha256(cluster_secret,
                    "server" + client_nonce + server_nonce + client_id);
}

std::string ClientProof(const std::string& cluster_secret,
                        const std::string& client_id,
                        const std::string& client_nonce,
                        const std::string& server_nonce) {
  return HmacSha256(cluster_secret,
                    "client" + client_nonce + server_nonce + client_id);
}

}  // namespace cranberryshunt::wire
