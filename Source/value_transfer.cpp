#include "value_transfer.h"

#include <algorithm>
#include <utility>

namespace cyclamen {

namespace {

// Versions follow one another within fractions of a second, and receivers of the one before the
// last are still to get its rest.
constexpr std::size_t kept_values = 3;
constexpr std::size_t max_holders = 64;
constexpr std::size_t holders_per_reply = 3;
constexpr std::size_t max_sources = 32;
// Link rate that is assumed if the settings name none.
constexpr double unknown_link_mbps = 10;
constexpr double bytes_per_mbit = 125000;
constexpr double burst_pieces = 2;

double pieces_per_second(const value_transfer_options& options)
{
    const double link = options.link_mbps > 0 ? options.link_mbps : unknown_link_mbps;
    return link * bytes_per_mbit * options.link_share / static_cast<double>(options.piece_bytes);
}

} // namespace

value_source::value_source(value_transfer_options options)
    : options_(options), pieces_per_second_(pieces_per_second(options)),
      max_receivers_(std::max<std::size_t>(
          options.least_receivers,
          static_cast<std::size_t>(pieces_per_second_ / options.pieces_per_receiver)))
{
}

void value_source::keep(packed_value value)
{
    if (find(value.hash) != nullptr) {
        return;
    }
    if (values_.size() == kept_values) {
        values_.pop_front();
    }
    values_.push_back({.value = std::move(value), .holders = {}});
}

const packed_value* value_source::find(std::uint64_t hash) const
{
    const auto found = std::find_if(values_.begin(), values_.end(), [&](const kept_value& kept) {
        return kept.value.hash == hash;
    });
    return found == values_.end() ? nullptr : &found->value;
}

value_source::reply value_source::answer(const std::string& receiver, std::uint64_t hash,
                                         std::size_t from, millis now)
{
    const auto found = std::find_if(values_.begin(), values_.end(), [&](const kept_value& kept) {
        return kept.value.hash == hash;
    });
    if (found == values_.end() || from >= found->value.data.size()) {
        return {};
    }
    std::erase_if(receivers_,
                  [&](const auto& row) { return now - row.second >= options_.receiver_timeout; });
    reply answer{.total = found->value.data.size()};
    if (!receivers_.contains(receiver) && receivers_.size() >= max_receivers_) {
        answer.busy = true;
        answer.wait = options_.busy_pause;
        for (std::size_t count = 0; count < std::min(holders_per_reply, found->holders.size());
             ++count) {
            answer.holders.push_back(found->holders[next_holder_++ % found->holders.size()]);
        }
        return answer;
    }
    receivers_[receiver] = now;
    pieces_.set_rate(pieces_per_second_, burst_pieces);
    if (!pieces_.allows(now)) {
        answer.wait = millis(static_cast<millis::rep>(1000 / pieces_per_second_) + 1);
        return answer;
    }
    pieces_.take(now);
    answer.data = std::string_view(found->value.data).substr(from, options_.piece_bytes);
    if (from + answer.data.size() == found->value.data.size()) {
        receivers_.erase(receiver);
        if (found->holders.size() < max_holders &&
            std::find(found->holders.begin(), found->holders.end(), receiver) ==
                found->holders.end()) {
            found->holders.push_back(receiver);
        }
    }
    return answer;
}

value_fetch::value_fetch(value_reference wanted, value_transfer_options options, millis now)
    : wanted_(wanted), options_(options), began_at_(now), last_piece_at_(now)
{
}

void value_fetch::add_sources(const std::vector<std::string>& sources)
{
    for (const std::string& name : sources) {
        if (find(name) == nullptr && sources_.size() < max_sources) {
            sources_.push_back({.name = name});
        }
    }
}

value_fetch::source* value_fetch::find(const std::string& name)
{
    const auto found = std::find_if(sources_.begin(), sources_.end(),
                                    [&](const source& row) { return row.name == name; });
    return found == sources_.end() ? nullptr : &*found;
}

void value_fetch::drop(const std::string& name)
{
    std::erase_if(sources_, [&](const source& row) { return row.name == name; });
}

void value_fetch::leave_current(millis now, millis pause)
{
    if (source* left = current_ ? find(*current_) : nullptr) {
        left->ask_from = now + pause;
    }
    current_.reset();
    asked_at_.reset();
}

std::optional<value_fetch::request> value_fetch::next_request(millis now)
{
    if (asked_at_ && now - *asked_at_ >= options_.piece_timeout) {
        leave_current(now, options_.piece_timeout);
    }
    if (asked_at_) {
        return std::nullopt;
    }
    const source* chosen = current_ ? find(*current_) : nullptr;
    if (chosen == nullptr) {
        // The one that was to be asked first; among equals, in the order of `add_sources`.
        const auto first = std::min_element(
            sources_.begin(), sources_.end(),
            [](const source& left, const source& right) { return left.ask_from < right.ask_from; });
        chosen = first == sources_.end() ? nullptr : &*first;
    }
    if (chosen == nullptr || now < chosen->ask_from) {
        return std::nullopt;
    }
    current_ = chosen->name;
    asked_at_ = now;
    return request{.source = chosen->name, .from = data_.size()};
}

std::optional<std::string> value_fetch::on_piece(const piece& received, millis now)
{
    const bool from_current = current_ == received.source;
    if (received.total == 0 || received.total > options_.max_bytes) {
        if (from_current) {
            leave_current(now, 0ms);
        }
        drop(received.source);
        return std::nullopt;
    }
    if (received.data.empty()) {
        if (!from_current) {
            return std::nullopt;
        }
        if (received.busy) {
            leave_current(now, received.wait);
            add_sources(received.holders);
            return std::nullopt;
        }
        asked_at_.reset();
        find(received.source)->ask_from = now + received.wait;
        return std::nullopt;
    }
    // Each source has the same compressed form only if it uses the same compressor.
    if (total_ != 0 && total_ != received.total) {
        drop(received.source);
        leave_current(now, 0ms);
        return std::nullopt;
    }
    if (from_current) {
        asked_at_.reset();
    }
    if (received.from != data_.size()) {
        return std::nullopt; // late, or twice
    }
    total_ = received.total;
    data_.append(received.data);
    ++pieces_;
    last_piece_at_ = now;
    if (data_.size() < total_) {
        return std::nullopt;
    }
    current_.reset();
    asked_at_.reset();
    return data_;
}

void value_fetch::reject(millis now)
{
    data_.clear();
    total_ = 0;
    leave_current(now, options_.piece_timeout);
}

bool value_fetch::moves(millis now) const
{
    return now - last_piece_at_ < options_.piece_timeout * 2;
}

} // namespace cyclamen
