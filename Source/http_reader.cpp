#include "http_reader.h"

#include "contained_errors.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace cyclamen {

namespace {

// Checks for a token (RFC 9110, 5.6.2). The parser library itself accepts spaces in names.
bool is_token(std::string_view name)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&](char letter) {
        return std::isalnum(static_cast<unsigned char>(letter)) != 0 ||
               marks.find(letter) != std::string_view::npos;
    });
}

bool is_field_value(std::string_view value)
{
    return std::none_of(value.begin(), value.end(), [](char letter) {
        const auto code = static_cast<unsigned char>(letter);
        return (code < 0x20 && letter != '\t') || code == 0x7f;
    });
}

// Statuses that a response can have (RFC 9110, 15).
constexpr int first_status = 100;
constexpr int last_status = 599;

// Returned by the on_headers_complete callback to tell http_parser that the message has no body.
constexpr int skip_body = 1;

} // namespace

struct http_reader::state {
    http_parser parser{};
    http_message_type message_type;
    handlers receivers;
    http_reader_limits limits;
    http_head head;
    bool value_seen = false; // part of the last header's value has been parsed
    bool complete = false;
    bool message_started = false;
    bool no_body = false;
    std::size_t head_bytes = 0;
    std::size_t body_bytes = 0;
    http_parse_error parse_error = http_parse_error::none;

    state(http_message_type type, handlers hooks, http_reader_limits initial_limits)
        : message_type(type), receivers(std::move(hooks)), limits(initial_limits)
    {
        reset();
    }

    void reset()
    {
        http_parser_init(&parser,
                         message_type == http_message_type::request ? HTTP_REQUEST : HTTP_RESPONSE);
        parser.data = this;
        clear();
    }

    void clear()
    {
        head = {};
        value_seen = false;
        complete = false;
        message_started = false;
        head_bytes = 0;
        body_bytes = 0;
    }

    static state& of(http_parser* parser) { return *static_cast<state*>(parser->data); }

    int fail(http_parse_error reason)
    {
        parse_error = reason;
        return -1;
    }

    int add_head_bytes(std::size_t length)
    {
        head_bytes += length;
        return head_bytes > limits.head_bytes ? fail(http_parse_error::head_too_large) : 0;
    }

    static int on_url(http_parser* parser, const char* at, std::size_t length)
    {
        state& self = of(parser);
        self.head.target.append(at, length);
        return self.add_head_bytes(length);
    }

    static int on_status(http_parser* parser, const char* at, std::size_t length)
    {
        of(parser).head.reason.append(at, length);
        return 0;
    }

    static int on_name(http_parser* parser, const char* at, std::size_t length)
    {
        state& self = of(parser);
        if (self.head.headers.empty() || self.value_seen) {
            if (self.head.headers.size() >= self.limits.headers) {
                return self.fail(http_parse_error::head_too_large);
            }
            self.head.headers.emplace_back();
            self.value_seen = false;
        }
        self.head.headers.back().name.append(at, length);
        return self.add_head_bytes(length);
    }

    static int on_value(http_parser* parser, const char* at, std::size_t length)
    {
        state& self = of(parser);
        self.value_seen = true;
        self.head.headers.back().value.append(at, length);
        return self.add_head_bytes(length);
    }

    static int on_headers_complete(http_parser* parser)
    {
        state& self = of(parser);
        return self.headers_complete();
    }

    int headers_complete()
    {
        for (http_header& field : head.headers) {
            while (!field.value.empty() &&
                   (field.value.back() == ' ' || field.value.back() == '\t')) {
                field.value.pop_back();
            }
            if (!is_token(field.name) || !is_field_value(field.value)) {
                return fail(http_parse_error::malformed);
            }
        }
        if (parser.http_major != 1) {
            return fail(http_parse_error::malformed);
        }
        if (message_type == http_message_type::request) {
            // http_parser takes the content of such a request for the next message.
            if (parser.method == HTTP_CONNECT) {
                return fail(http_parse_error::malformed);
            }
            head.method = http_method_str(static_cast<http_method>(parser.method));
        }
        else {
            head.status = static_cast<int>(parser.status_code);
            if (head.status < first_status || head.status > last_status) {
                return fail(http_parse_error::malformed);
            }
        }
        head.minor_version = parser.http_minor;
        head.chunked = (parser.flags & F_CHUNKED) != 0;
        if (!head.chunked && (parser.flags & F_CONTENTLENGTH) != 0) {
            head.length = parser.content_length;
        }
        if (head.length && *head.length > limits.body_bytes && !no_body) {
            return fail(http_parse_error::body_too_large);
        }
        head.keep_alive = http_should_keep_alive(&parser) != 0;
        if (receivers.on_head && !contain_errors("head", [&] { receivers.on_head(head); })) {
            return fail(http_parse_error::not_handled);
        }
        return no_body ? skip_body : 0;
    }

    static int on_body(http_parser* parser, const char* at, std::size_t length)
    {
        state& self = of(parser);
        self.body_bytes += length;
        if (self.body_bytes > self.limits.body_bytes) {
            return self.fail(http_parse_error::body_too_large);
        }
        const auto handle = [&] { self.receivers.on_body({at, length}); };
        if (self.receivers.on_body && !contain_errors("body", handle)) {
            return self.fail(http_parse_error::not_handled);
        }
        return 0;
    }

    static int on_message_begin(http_parser* parser)
    {
        of(parser).message_started = true;
        return 0;
    }

    static int on_message_complete(http_parser* parser)
    {
        of(parser).complete = true;
        http_parser_pause(parser, 1); // the remaining bytes belong to the next message
        return 0;
    }

    static const http_parser_settings& callbacks()
    {
        static const http_parser_settings table = [] {
            http_parser_settings settings{};
            settings.on_message_begin = &state::on_message_begin;
            settings.on_url = &state::on_url;
            settings.on_status = &state::on_status;
            settings.on_header_field = &state::on_name;
            settings.on_header_value = &state::on_value;
            settings.on_headers_complete = &state::on_headers_complete;
            settings.on_body = &state::on_body;
            settings.on_message_complete = &state::on_message_complete;
            return settings;
        }();
        return table;
    }

    void record_parser_error(http_parse_error fallback)
    {
        const auto error = HTTP_PARSER_ERRNO(&parser);
        if (error == HPE_OK || error == HPE_PAUSED || parse_error != http_parse_error::none) {
            return;
        }
        parse_error = error == HPE_HEADER_OVERFLOW ? http_parse_error::head_too_large : fallback;
    }
};

http_reader::http_reader(http_message_type message_type, handlers receivers,
                         http_reader_limits limits)
    : state_(std::make_unique<state>(message_type, std::move(receivers), limits))
{
}

http_reader::~http_reader() = default;

void http_reader::set_limits(http_reader_limits limits)
{
    state_->limits = limits;
}

std::size_t http_reader::feed(std::string_view data)
{
    if (data.empty() || state_->complete || state_->parse_error != http_parse_error::none) {
        return 0;
    }
    const std::size_t used =
        http_parser_execute(&state_->parser, &state::callbacks(), data.data(), data.size());
    state_->record_parser_error(http_parse_error::malformed);
    return used;
}

void http_reader::feed_end()
{
    if (state_->complete || state_->parse_error != http_parse_error::none) {
        return;
    }
    http_parser_execute(&state_->parser, &state::callbacks(), "", 0);
    state_->record_parser_error(http_parse_error::early_end);
}

void http_reader::next(bool no_body)
{
    state_->reset();
    state_->no_body = no_body;
}

bool http_reader::complete() const
{
    return state_->complete;
}

bool http_reader::message_started() const
{
    return state_->message_started;
}

std::size_t http_reader::head_size() const
{
    return state_->head_bytes + state_->head.headers.size() * sizeof(http_header);
}

http_parse_error http_reader::parse_error() const
{
    return state_->parse_error;
}

} // namespace cyclamen
