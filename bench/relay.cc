// The baseline: a relay of a few lines that decides nothing.
//
// One evhttp server, one evhttp client connection for each request, every part
// of an answer passed on as it comes. What a router costs beyond this is what
// its decisions cost.

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>

namespace {

struct Relay {
  event_base* base;
  const char* host;
  std::uint16_t port;
};

struct Call {
  evhttp_request* caller;
  evhttp_connection* upstream;
};

void OnData(evhttp_request* answer, void* raw) {
  evhttp_send_reply_chunk(static_cast<Call*>(raw)->caller,
                          evhttp_request_get_input_buffer(answer));
}

int OnHead(evhttp_request* answer, void* raw) {
  evhttp_send_reply_start(static_cast<Call*>(raw)->caller,
                          evhttp_request_get_response_code(answer), nullptr);
  return 0;
}

void FreeConnection(evutil_socket_t, short, void* raw) {
  evhttp_connection_free(static_cast<evhttp_connection*>(raw));
}

void OnEnd(evhttp_request*, void* raw) {
  Call* call = static_cast<Call*>(raw);
  evhttp_send_reply_end(call->caller);
  event_base_once(evhttp_connection_get_base(call->upstream), -1, EV_TIMEOUT,
                  FreeConnection, call->upstream, nullptr);
  delete call;
}

void OnRequest(evhttp_request* caller, void* raw) {
  const Relay* relay = static_cast<Relay*>(raw);
  Call* call =
      new Call{caller, evhttp_connection_base_new(relay->base, nullptr,
                                                  relay->host, relay->port)};
  evhttp_request* request = evhttp_request_new(OnEnd, call);
  evhttp_request_set_chunked_cb(request, OnData);
  evhttp_request_set_header_cb(request, OnHead);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "x");
  evbuffer_add_buffer(evhttp_request_get_output_buffer(request),
                      evhttp_request_get_input_buffer(caller));
  evhttp_make_request(call->upstream, request,
                      evhttp_request_get_command(caller),
                      evhttp_request_get_uri(caller));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: relay PORT UPSTREAM_HOST UPSTREAM_PORT\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  Relay relay{event_base_new(), argv[2],
              static_cast<std::uint16_t>(std::atoi(argv[3]))};
  evhttp* http = evhttp_new(relay.base);
  evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
  evhttp_set_gencb(http, OnRequest, &relay);
  if (evhttp_bind_socket(http, "127.0.0.1",
                         static_cast<std::uint16_t>(std::atoi(argv[1]))) != 0) {
    return 1;
  }
  event_base_dispatch(relay.base);
}
