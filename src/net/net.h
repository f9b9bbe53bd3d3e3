#ifndef NET_NET_H_
#define NET_NET_H_

#include "net/fwd.h"
#include "net/http_call.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/http_types.h"
#include "net/listener_probe.h"
#include "net/one_shot.h"
#include "net/peer_link.h"
#include "net/peer_silence.h"
#include "net/receive_budget.h"
#include "net/receive_memory.h"

#endif  // NET_NET_H_
