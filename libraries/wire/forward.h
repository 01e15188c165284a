// SPDX-License-Identifier: BSD-2-Clause
#pragma once

namespace postpaddle::wire {

struct http_request;
struct http_response;
class caller_connection;
class http_listener;
class upstream_connection;
class connection_pool;
class engine_adapter;
class log_client;
class peer_client;

} // namespace postpaddle::wire
