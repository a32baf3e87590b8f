// Proofs of the mutual challenge-response authentication at the start of each
// connection between the processes of a cell.
#ifndef CRANBERRYSHUNT_WIRE_AUTHENTICATION_H_
#define CRANBERRYSHUNT_WIRE_AUTHENTICATION_H_

#include <cstddef>
#include <string>

namespace cranberryshunt::wire {

inline constexpr std::size_t kNonceBytes = 32;

// The proof that the server knows the cluster secret: a message authentication
// code of 32 bytes, which the server sends after its nonce.
std::string ServerProof(const std::string& cluster_secret,
                        const std::string& client_id,
                        const std::string& client_nonce,
                        const std::string& server_nonce);

// The proof that the client knows the cluster secret, with which it replies to
// the challenge. It differs from the server's proof for the same nonces, so
// that a proof cannot be reflected to the side that made it.
std::string ClientProof(const std::string& cluster_secret,
                        const std::string& client_id,
                        const std::string& client_nonce,
                        const std::string& server_nonce);

}  // namespace cranberryshunt::wire

#endif  // CRANBERRYSHUNT_WIRE_AUTHENTICATION_H_
