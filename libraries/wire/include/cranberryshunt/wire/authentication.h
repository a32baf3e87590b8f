// Proofs of the mutual challenge-response that opens each connection between
// the system's own processes.
#ifndef CRANBERRYSHUNT_WIRE_AUTHENTICATION_H_
#define CRANBERRYSHUNT_WIRE_AUTHENTICATION_H_

#include <cstddef>
#include <string>

namespace cranberryshunt::wire {

inline constexpr std::size_t kNonceBytes = 32;

// What the server sends after its nonce to show that it knows the cluster
// secret.
std::string ServerProof(const std::string& cluster_secret,
                        const std::string& client_id,
                        const std::string& client_nonce,
                        const std::string& server_nonce);

// What the client answers to show that it knows the cluster secret. It differs
// from the server's proof, so that neither side can be used to answer the
// other's challenge.
std::string ClientProof(const std::string& cluster_secret,
                        const std::string& client_id,
                        const std::string& client_nonce,
                        const std::string& server_nonce);

}  // namespace cranberryshunt::wire

#endif  // CRANBERRYSHUNT_WIRE_AUTHENTICATION_H_
