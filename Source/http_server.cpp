#include "http_server.h"

#include "contained_errors.h"
#include "reset_on_close.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <limits>
#include <stdexcept>
#include <utility>

namespace cyclamen {

namespace {

constexpr int http_internal_error = 500;
// Bytes that are read of further requests while one is open.
constexpr std::size_t max_bytes_ahead = 65536;
constexpr std::string_view refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
                                     "Content-Length: 0\r\nConnection: close\r\n\r\n";
constexpr ev_uint16_t allowed_methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                        EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH;

struct method_name {
    evhttp_cmd_type type;
    const char* name;
};

constexpr method_name method_names[] = {
    {EVHTTP_REQ_GET, "GET"}, {EVHTTP_REQ_POST, "POST"},     {EVHTTP_REQ_HEAD, "HEAD"},
    {EVHTTP_REQ_PUT, "PUT"}, {EVHTTP_REQ_DELETE, "DELETE"}, {EVHTTP_REQ_PATCH, "PATCH"},
};

int socket_of(evhttp_request* request)
{
    evhttp_connection* connection = evhttp_request_get_connection(request);
    return bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
}

std::string name_of_method(evhttp_cmd_type type)
{
    for (const method_name& row : method_names) {
        if (row.type == type) {
            return row.name;
        }
    }
    return "?";
}

} // namespace

// Connection of a client from its acceptance to its end.
struct http_server::client {
    http_server* server;
    bufferevent* transport;
    connection_limiter::connection usage;
    evhttp_connection* connection = nullptr;
    http_exchange::exchange_tracker* request = nullptr; // the open one
    std::size_t moved_bytes = 0; // of the current request, from the input to the request
    bool unwanted = false;

    client(http_server* owner, bufferevent* accepted)
        : server(owner), transport(accepted),
          usage(owner->limiter_, [this](client_closing reason) { server->close(*this, reason); })
    {
    }

    void limit_input(std::size_t bytes) const
    {
        bufferevent_setwatermark(transport, EV_READ, 0, bytes);
    }

    void count_memory()
    {
        const std::size_t input =
            evbuffer_get_length(bufferevent_get_input(transport)) + moved_bytes;
        // More than a request may have is read and dropped.
        usage.set_bytes(std::min(input, server->max_request_bytes_ + max_bytes_ahead) +
                        evbuffer_get_length(bufferevent_get_output(transport)));
        if (server->limiter_.memory_short()) {
            event_active(server->deferred_, 0, 0);
        }
    }
};

// Tracks one request until its response is sent or its connection closes.
struct http_exchange::exchange_tracker {
    http_server* server = nullptr;
    evhttp_request* request = nullptr;
    std::weak_ptr<http_exchange> exchange;
    http_server::client* client = nullptr;

    static void on_complete(evhttp_request* request, void* user)
    {
        const std::unique_ptr<exchange_tracker> self(static_cast<exchange_tracker*>(user));
        --self->server->open_;
        self->server->delimited_.erase(request);
        set_reset_on_close(socket_of(request), false);
        self->client->request = nullptr;
        self->client->moved_bytes = 0;
        self->client->usage.set_busy(false);
        self->client->limit_input(self->server->max_request_bytes_);
        self->client->count_memory();
    }

    static void on_close(exchange_tracker* closed)
    {
        const std::unique_ptr<exchange_tracker> self(closed);
        --self->server->open_;
        self->server->delimited_.erase(self->request);
        const auto locked = self->exchange.lock();
        if (locked && locked->request_ != nullptr) {
            contain_errors("disconnection", [&] { locked->on_caller_disconnected(); });
        }
    }
};

http_exchange::http_exchange(evhttp_request* request)
    : request_(request), method_(name_of_method(evhttp_request_get_command(request)))
{
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    const char* path = evhttp_uri_get_path(uri);
    const char* query = evhttp_uri_get_query(uri);
    path_ = path == nullptr ? "/" : path;
    query_ = query == nullptr ? "" : query;
    evbuffer* input = evhttp_request_get_input_buffer(request);
    const std::size_t length = evbuffer_get_length(input);
    if (length > 0) {
        body_.resize(length);
        evbuffer_remove(input, body_.data(), length);
    }
}

http_exchange::~http_exchange() = default;

std::string http_exchange::header(const char* name) const
{
    if (request_ == nullptr) {
        return {};
    }
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(request_), name);
    return value == nullptr ? std::string() : value;
}

void http_exchange::add_headers(const std::string& content_type,
                                const std::vector<http_header>& headers)
{
    evkeyvalq* output = evhttp_request_get_output_headers(request_);
    evhttp_add_header(output, "Content-Type", content_type.c_str());
    for (const http_header& row : headers) {
        evhttp_add_header(output, row.name.c_str(), row.value.c_str());
    }
    if (server_->stopping_) {
        evhttp_add_header(output, "Connection", "close");
    }
}

void http_exchange::detach()
{
    request_ = nullptr;
    on_closed = nullptr;
    self_.reset();
}

void http_exchange::reply(int status, const std::string& content_type, std::string_view body,
                          const std::vector<http_header>& headers)
{
    if (closed()) {
        return;
    }
    const std::shared_ptr<http_exchange> hold = self_;
    add_headers(content_type, headers);
    evhttp_request* request = request_;
    detach();
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, buffer);
    evbuffer_free(buffer);
}

void http_exchange::begin_stream(int status, const std::string& content_type,
                                 const std::vector<http_header>& headers)
{
    if (closed()) {
        return;
    }
    add_headers(content_type, headers);
    // A caller that uses HTTP/1.0 gets no chunks: its response ends with the connection.
    if (request_->minor == 0) {
        server_->delimited_.insert(request_);
        set_reset_on_close(socket_of(request_), true);
    }
    evhttp_send_reply_start(request_, status, nullptr);
}

void http_exchange::write(std::string_view data)
{
    if (closed() || data.empty()) {
        return;
    }
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, data.data(), data.size());
    chunk_pending_ = true;
    evhttp_send_reply_chunk_with_cb(request_, buffer, &http_exchange::on_written, this);
    evbuffer_free(buffer);
}

void http_exchange::end_stream()
{
    if (closed()) {
        return;
    }
    const std::shared_ptr<http_exchange> hold = self_;
    evhttp_request* request = request_;
    detach();
    evhttp_send_reply_end(request);
}

void http_exchange::on_written(evhttp_connection* /*connection*/, void* user)
{
    auto* exchange = static_cast<http_exchange*>(user);
    exchange->chunk_pending_ = false;
    if (exchange->aborting_) {
        exchange->close_connection();
        return;
    }
    const std::function<void()> notify = exchange->on_drained;
    if (notify) {
        contain_errors("response", notify);
    }
}

void http_exchange::abort()
{
    if (closed()) {
        return;
    }
    on_closed = nullptr;
    on_drained = nullptr;
    aborting_ = true;
    if (!chunk_pending_) {
        close_connection();
    }
}

void http_exchange::end_after_error()
{
    if (closed()) {
        return;
    }
    if (evhttp_request_get_response_code(request_) != 0) { // a response has begun
        abort();
        return;
    }
    on_closed = nullptr;
    reply(http_internal_error, "text/plain", "the request could not be handled\n");
}

void http_exchange::close_connection()
{
    const std::shared_ptr<http_exchange> hold = self_;
    evhttp_connection* connection = evhttp_request_get_connection(request_);
    if (server_->delimited_.erase(request_) > 0) {
        reset_connection(socket_of(request_));
    }
    detach();
    evhttp_connection_free(connection); // ends it in order
}

void http_exchange::on_caller_disconnected()
{
    const std::shared_ptr<http_exchange> hold = self_;
    const std::function<void()> notify = on_closed;
    request_ = nullptr;
    on_closed = nullptr;
    self_.reset();
    if (notify) {
        notify();
    }
}

http_server::http_server(event_base* loop, const net_address& address, http_server_options options,
                         handler on_request)
    : unlimited_memory_(std::numeric_limits<std::size_t>::max()),
      unlimited_(unlimited_memory_, {.max_connections = std::numeric_limits<std::size_t>::max()}),
      limiter_(options.clients == nullptr ? unlimited_ : *options.clients),
      // A chunk stays in the input until it is complete.
      max_request_bytes_(options.max_body_bytes + options.max_header_bytes + max_bytes_ahead),
      deferred_(event_new(loop, -1, 0, &http_server::on_deferred, this)), http_(evhttp_new(loop)),
      on_request_(std::move(on_request))
{
    evhttp_set_allowed_methods(http_, allowed_methods);
    evhttp_set_max_body_size(http_, static_cast<ev_ssize_t>(options.max_body_bytes));
    evhttp_set_max_headers_size(http_, static_cast<ev_ssize_t>(options.max_header_bytes));
    // Without lingering close, a caller that is still sending an oversized body would not receive
    // the error response.
    evhttp_set_flags(http_, EVHTTP_SERVER_LINGERING_CLOSE);
    evhttp_set_timeout(http_, static_cast<int>(options.idle_timeout.count() / 1000));
    evhttp_set_default_content_type(http_, nullptr);
    evhttp_set_gencb(http_, &http_server::on_evhttp_request, this);
    evhttp_set_bevcb(http_, &http_server::on_accept, this);
    listener_ = evhttp_bind_socket_with_handle(http_, address.host.c_str(), address.port);
    if (listener_ == nullptr) {
        evhttp_free(http_);
        event_free(deferred_);
        throw std::runtime_error(fmt::format(
            "cannot listen at {}: the address must belong to this machine and its port must be "
            "free",
            address.text()));
    }
}

http_server::~http_server()
{
    for (evhttp_request* request : delimited_) {
        reset_connection(socket_of(request));
    }
    on_accepted();
    evhttp_free(http_);
    event_free(deferred_);
}

bool http_server::try_close_listener()
{
    if (listener_ == nullptr) {
        return true;
    }
    // Closing the listener resets the connections in its queue.
    pollfd queue{.fd = evhttp_bound_socket_get_fd(listener_), .events = POLLIN, .revents = 0};
    if (poll(&queue, 1, 0) > 0) {
        return false;
    }
    evhttp_del_accept_socket(http_, listener_);
    listener_ = nullptr;
    return true;
}

millis http_server::quiet_time() const
{
    return std::chrono::duration_cast<millis>(std::chrono::steady_clock::now() - last_transfer_);
}

bufferevent* http_server::on_accept(event_base* loop, void* user)
{
    auto* server = static_cast<http_server*>(user);
    server->last_transfer_ = std::chrono::steady_clock::now();
    server->on_accepted();
    const bool has_room = server->limiter_.make_room();
    bufferevent* connection = bufferevent_socket_new(loop, -1, 0);
    auto added = std::make_unique<client>(server, connection);
    added->unwanted = !has_room;
    added->limit_input(server->max_request_bytes_);
    evbuffer_add_cb(bufferevent_get_input(connection), &http_server::on_input, added.get());
    evbuffer_add_cb(bufferevent_get_output(connection), &http_server::on_output, added.get());
    server->accepted_.push_back(added.get());
    server->clients_[connection] = std::move(added);
    event_active(server->deferred_, 0, 0);
    return connection;
}

// evhttp gives its connection only as the argument of the callbacks, after `on_accept`.
void http_server::on_accepted()
{
    for (client* added : accepted_) {
        void* connection = nullptr;
        bufferevent_getcb(added->transport, nullptr, nullptr, nullptr, &connection);
        added->connection = static_cast<evhttp_connection*>(connection);
        evhttp_connection_set_closecb(added->connection, &http_server::on_client_closed, added);
    }
    accepted_.clear();
}

void http_server::on_deferred(int /*socket*/, short /*what*/, void* user)
{
    auto* server = static_cast<http_server*>(user);
    const std::vector<client*> accepted = server->accepted_;
    server->on_accepted();
    for (client* added : accepted) {
        if (added->unwanted) {
            evhttp_connection_free(added->connection);
        }
    }
    server->limiter_.release_memory();
}

void http_server::close(client& closed, client_closing /*reason*/)
{
    on_accepted();
    const bool response_sent = evbuffer_get_length(bufferevent_get_output(closed.transport)) == 0;
    if (closed.usage.bytes() > 0 && response_sent) {
        // Tells a client that sends a request that it was not executed, as far as the socket takes
        // it now.
        static_cast<void>(::send(bufferevent_getfd(closed.transport), refusal.data(),
                                 refusal.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
    }
    bufferevent* transport = closed.transport;
    evhttp_connection_free(closed.connection);
    clients_.erase(transport); // if evhttp did not call `on_client_closed`
}

void http_server::on_client_closed(evhttp_connection* /*connection*/, void* user)
{
    auto* closed = static_cast<client*>(user);
    if (closed->request != nullptr) {
        http_exchange::exchange_tracker::on_close(std::exchange(closed->request, nullptr));
    }
    evbuffer_remove_cb(bufferevent_get_input(closed->transport), &http_server::on_input, closed);
    evbuffer_remove_cb(bufferevent_get_output(closed->transport), &http_server::on_output, closed);
    closed->server->clients_.erase(closed->transport);
}

void http_server::on_input(evbuffer* /*buffer*/, const evbuffer_cb_info* change, void* user)
{
    auto* from = static_cast<client*>(user);
    from->server->last_transfer_ = std::chrono::steady_clock::now();
    if (change->n_added > 0) {
        from->usage.on_progress();
    }
    if (from->request == nullptr) {
        from->moved_bytes += change->n_deleted;
    }
    from->count_memory();
}

void http_server::on_output(evbuffer* /*buffer*/, const evbuffer_cb_info* change, void* user)
{
    auto* to = static_cast<client*>(user);
    to->server->last_transfer_ = std::chrono::steady_clock::now();
    if (change->n_deleted > 0) {
        to->usage.on_progress();
    }
    to->count_memory();
}

void http_server::on_evhttp_request(evhttp_request* request, void* user)
{
    auto exchange = std::make_shared<http_exchange>(request);
    exchange->self_ = exchange;
    auto* server = static_cast<http_server*>(user);
    exchange->server_ = server;
    ++server->open_;
    auto tracker = std::make_unique<http_exchange::exchange_tracker>();
    tracker->server = server;
    tracker->request = request;
    tracker->exchange = exchange;
    http_exchange::exchange_tracker* raw =
        tracker.release(); // freed by whichever of its two callbacks runs
    evhttp_request_set_on_complete_cb(request, &http_exchange::exchange_tracker::on_complete, raw);
    client& from = *server->clients_.at(
        evhttp_connection_get_bufferevent(evhttp_request_get_connection(request)));
    raw->client = &from;
    from.request = raw;
    from.moved_bytes = exchange->body().size();
    from.usage.set_busy(true);
    from.limit_input(max_bytes_ahead);
    from.count_memory();
    if (!contain_errors("request", [&] { server->on_request_(exchange); })) {
        exchange->end_after_error();
    }
}

} // namespace cyclamen
