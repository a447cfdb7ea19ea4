#include "http/http_parser.h"

#include <http_parser.h>

#include <algorithm>
#include <string>
#include <utility>

namespace quaytrack {
namespace {

// The library has one bound on a head, in bytes, for the whole process; it must
// be above the limit of any `HttpParser`.
constexpr std::uint32_t kLibraryHeadBytes = 1 << 20;
// Maximum number of headers of a response. Requests may have as many as their
// limit in bytes allows.
constexpr std::size_t kMaxResponseHeaders = 200;
// Ends each name and each value in `HttpParser::State::lines`; neither can
// contain it.
constexpr char kFieldEnd = '\n';

// Whether a header's name is neither empty nor contains blanks, which the
// lenient build of the library accepts.
bool IsPlainName(std::string_view name) {
  return !name.empty() && name.find_first_of(" \t") == std::string_view::npos;
}

}  // namespace

struct HttpParser::State {
  Kind kind;
  Handlers on;
  HttpLimits limits;
  http_parser library{};
  HttpHead head;
  // The status line of a response, as far as it has arrived; empty again once
  // it is complete.
  std::string status_line;
  bool awaits_status_line = false;
  // The headers that have arrived of a head that isn't complete: name, value,
  // name, and so on, each with a `kFieldEnd` behind it. As an HttpHeader each,
  // short ones would take many times their size.
  std::string lines;
  enum class Field { kNone, kName, kValue };
  // What the latest bytes of `lines` belong to.
  Field field = Field::kNone;
  // Whether some bytes of the current message have arrived.
  bool in_message = false;
  bool in_head = true;
  bool complete = false;
  // Bytes of the head of the current message, with its start line.
  std::size_t head_bytes = 0;
  std::size_t body_bytes = 0;
  std::size_t trailer_bytes = 0;
  HttpFault fault = HttpFault::kNone;

  static http_parser_settings Callbacks();
  static State& Of(http_parser* it) { return *static_cast<State*>(it->data); }

  void Begin() {
    http_parser_init(&library,
                     kind == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
    library.data = this;
    head = HttpHead();
    std::string().swap(status_line);
    awaits_status_line = kind == Kind::kResponse;
    std::string().swap(lines);
    field = Field::kNone;
    in_message = false;
    in_head = true;
    complete = false;
    head_bytes = 0;
    body_bytes = 0;
    trailer_bytes = 0;
  }

  // Reads the status line from the next bytes of the head. The library accepts
  // any number as a status, any version and any reason. Returns false if the
  // line is complete and isn't valid.
  bool TakeStatusLine(std::string_view bytes) {
    if (!awaits_status_line) return true;
    // The library skips empty lines before it.
    if (status_line.empty())
      bytes.remove_prefix(
          std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
    const std::size_t end = bytes.find('\n');
    status_line += bytes.substr(0, end);
    if (end == std::string_view::npos) return true;
    awaits_status_line = false;
    const std::string line = std::exchange(status_line, {});
    std::string_view text = line;
    if (text.ends_with('\r')) text.remove_suffix(1);
    return ReadStatusLine(text).has_value();
  }

  int AddName(std::string_view part) {
    if (!in_head) return AddTrailer(part);
    if (field == Field::kValue) lines += kFieldEnd;
    field = Field::kName;
    lines += part;
    return 0;
  }

  int AddValue(std::string_view part) {
    if (!in_head) return AddTrailer(part);
    if (field == Field::kName) lines += kFieldEnd;
    field = Field::kValue;
    lines += part;
    return 0;
  }

  // Nobody reads the trailers of a body in chunks.
  int AddTrailer(std::string_view part) {
    trailer_bytes += part.size();
    if (trailer_bytes <= limits.max_head_bytes) return 0;
    return Fail(HttpFault::kHeadTooLarge);
  }

  // Moves `lines` to the head.
  void SplitLines() {
    if (field != Field::kNone) lines += kFieldEnd;
    const auto ends = std::count(lines.begin(), lines.end(), kFieldEnd);
    head.headers.reserve(static_cast<std::size_t>(ends) / 2);
    std::string_view rest = lines;
    const auto next = [&rest] {
      const std::string_view out = rest.substr(0, rest.find(kFieldEnd));
      rest.remove_prefix(out.size() + 1);
      return std::string(out);
    };
    while (!rest.empty()) {
      HttpHeader& it = head.headers.emplace_back();
      it.name = next();
      it.value = next();
    }
    std::string().swap(lines);
  }

  bool HeadersAreValid() const {
    const bool response = kind == Kind::kResponse;
    if (response && head.headers.size() > kMaxResponseHeaders) return false;
    return std::all_of(head.headers.begin(), head.headers.end(),
                       [](const HttpHeader& it) {
                         return IsPlainName(it.name) && !HasControl(it.value);
                       });
  }

  bool RequestIsUnambiguous() const {
    const std::string* coding = head.Find("transfer-encoding");
    if (coding != nullptr && !SameHeaderName(*coding, "chunked")) return false;
    if (coding != nullptr && head.Count("content-length") > 0) return false;
    if (head.Count("transfer-encoding") > 1) return false;
    if (head.Count("content-length") > 1) return false;
    return head.Count("host") == 1 && !HasControl(head.target);
  }

  int OnHead() {
    in_head = false;
    SplitLines();
    head.chunked = (library.flags & F_CHUNKED) != 0;
    if ((library.flags & F_CONTENTLENGTH) != 0) {
      head.content_length = library.content_length;
    }
    head.keep_alive = http_should_keep_alive(&library) != 0;
    bool valid = HeadersAreValid();
    if (kind == Kind::kRequest) {
      head.method = http_method_str(static_cast<http_method>(library.method));
      valid = valid && RequestIsUnambiguous();
    } else {
      head.status = library.status_code;
    }
    if (!valid) return Fail(HttpFault::kMalformed);
    if (head.content_length.value_or(0) > limits.max_body_bytes) {
      return Fail(HttpFault::kBodyTooLarge);
    }
    on.head(head);
    return ContinueUnlessDropped();
  }

  int OnBody(std::string_view bytes) {
    body_bytes += bytes.size();
    if (body_bytes > limits.max_body_bytes) {
      return Fail(HttpFault::kBodyTooLarge);
    }
    on.body(bytes);
    return ContinueUnlessDropped();
  }

  // A handler may have dropped the message (`Discard`).
  int ContinueUnlessDropped() const {
    return fault == HttpFault::kNone ? 0 : -1;
  }

  // Takes bytes of the head up to its limit, or of the rest of the message.
  std::size_t FeedPart(std::string_view bytes) {
    const bool was_in_head = in_head;
    const std::size_t max = std::max(limits.max_head_bytes, head_bytes);
    if (was_in_head) bytes = bytes.substr(0, max - head_bytes);
    if (!TakeStatusLine(bytes)) {
      fault = HttpFault::kMalformed;
      return 0;
    }
    const std::size_t used = bytes.empty() ? 0 : Execute(bytes);
    if (was_in_head) head_bytes += used;
    const http_errno error = HTTP_PARSER_ERRNO(&library);
    if (complete || fault != HttpFault::kNone) return used;
    if (error != HPE_OK) {
      fault = error == HPE_HEADER_OVERFLOW ? HttpFault::kHeadTooLarge
                                           : HttpFault::kMalformed;
    } else if (in_head && head_bytes >= limits.max_head_bytes) {
      fault = HttpFault::kHeadTooLarge;
    }
    return used;
  }

  // Passes `bytes` to the library. Empty `bytes` mean that the connection has
  // ended.
  std::size_t Execute(std::string_view bytes) {
    static const http_parser_settings kCallbacks = Callbacks();
    return http_parser_execute(&library, &kCallbacks, bytes.data(),
                               bytes.size());
  }

  int Fail(HttpFault reason) {
    fault = reason;
    return -1;
  }
};

// Returns the callbacks for the library; `data` of the library's parser points
// to the state.
http_parser_settings HttpParser::State::Callbacks() {
  http_parser_settings on;
  http_parser_settings_init(&on);
  on.on_message_begin = [](http_parser* it) {
    State::Of(it).in_message = true;
    return 0;
  };
  on.on_url = [](http_parser* it, const char* at, std::size_t n) {
    State::Of(it).head.target.append(at, n);
    return 0;
  };
  on.on_status = [](http_parser* it, const char* at, std::size_t n) {
    State::Of(it).head.reason.append(at, n);
    return 0;
  };
  on.on_header_field = [](http_parser* it, const char* at, std::size_t n) {
    return State::Of(it).AddName({at, n});
  };
  on.on_header_value = [](http_parser* it, const char* at, std::size_t n) {
    return State::Of(it).AddValue({at, n});
  };
  on.on_headers_complete = [](http_parser* it) {
    return State::Of(it).OnHead();
  };
  on.on_body = [](http_parser* it, const char* at, std::size_t n) {
    return State::Of(it).OnBody({at, n});
  };
  on.on_message_complete = [](http_parser* it) {
    State::Of(it).complete = true;
    http_parser_pause(it, 1);
    return 0;
  };
  return on;
}

HttpParser::HttpParser(Kind kind, Handlers handlers, HttpLimits limits)
    : state_(std::make_shared<State>()) {
  http_parser_set_max_header_size(kLibraryHeadBytes);
  State& s = *state_;
  s.kind = kind;
  s.on = std::move(handlers);
  s.limits = limits;
  s.Begin();
}

// A running call goes on without the parser, and calls no more handlers.
HttpParser::~HttpParser() { state_->fault = HttpFault::kMalformed; }

std::size_t HttpParser::Feed(std::string_view bytes) {
  const auto keep = state_;
  State& s = *keep;
  std::size_t used = 0;
  while (s.fault == HttpFault::kNone && used < bytes.size()) {
    const std::size_t n = s.FeedPart(bytes.substr(used));
    used += n;
    if (s.complete) {
      s.Begin();
      s.on.complete();
      break;
    }
    if (n == 0) break;
  }
  return used;
}

bool HttpParser::FeedEnd() {
  const auto keep = state_;
  State& s = *keep;
  if (s.fault != HttpFault::kNone || !s.in_message || s.in_head) return false;
  s.Execute({});
  if (!s.complete) return false;
  s.Begin();
  s.on.complete();
  return true;
}

void HttpParser::Discard() {
  state_->Begin();
  state_->fault = HttpFault::kMalformed;
}

std::size_t HttpParser::HeldBytes() const {
  return state_->lines.capacity() + state_->head.target.capacity() +
         state_->status_line.capacity();
}

HttpFault HttpParser::fault() const { return state_->fault; }

void HttpParser::SetLimits(HttpLimits limits) { state_->limits = limits; }

}  // namespace quaytrack
