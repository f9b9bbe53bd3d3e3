#ifndef NET_FWD_H_
#define NET_FWD_H_

namespace mimosadeck::net {

struct http_request;
struct http_response;
class exchange;
class http_server;
class connection_cache;
class http_call;
class http_client;
class http_stream;
class peer_link;
struct output_state;
struct peer_silence;
struct silence_options;
class receive_budget;
class receive_claim;
struct receive_memory;
struct receive_options;
struct received;

}  // namespace mimosadeck::net

#endif  // NET_FWD_H_
