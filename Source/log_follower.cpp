#include "log_follower.h"

#include "contained_errors.h"
#include "event_log.h"

#include <iterator>
#include <utility>

namespace cyclamen {

log_follower::log_follower(kernel& core, log_follower_options options, record_mirror& mirror,
                           hooks collaborators)
    : core_(core), options_(std::move(options)), mirror_(mirror), hooks_(std::move(collaborators))
{
}

void log_follower::start()
{
    request_next_page();
}

void log_follower::schedule(millis delay, void (log_follower::*step)())
{
    timer_ = core_.after(delay, [this, step] { (this->*step)(); });
}

void log_follower::request_next_page()
{
    hooks_.list(next_page_after_, [this](keyed_log_page page) {
        handle([&] { handle_list_page(std::move(page)); });
    });
}

// Reading goes on with a new listing after an error that a record caused.
void log_follower::handle(const std::function<void()>& page_handler)
{
    if (contain_errors("records", page_handler)) {
        return;
    }
    read_pending_ = false;
    restart_listing();
    fail("unexpected_error");
    schedule(options_.retry_delay, &log_follower::request_next_page);
}

void log_follower::restart_listing()
{
    listed_records_.clear();
    listing_end_.reset();
    listed_pages_.clear();
    next_page_after_.reset();
    listed_and_ignored_ = 0;
}

// Takes the mirror to the era of a page; returns false if the page is of an earlier one.
bool log_follower::follow_era(const keyed_log_page& page)
{
    const std::uint64_t era = page.era.value_or(mirror_.era());
    mirror_.enter_era(era);
    if (era == mirror_.era() && page.end == log_call_status::answered) {
        mirror_.note_end(page.log_end);
    }
    return era == mirror_.era();
}

void log_follower::handle_list_page(keyed_log_page page)
{
    if (page.end != log_call_status::answered) {
        fail(page.error);
        schedule(options_.retry_delay, &log_follower::request_next_page);
        return;
    }
    if (!follow_era(page)) {
        restart_listing();
        fail("earlier_era");
        schedule(options_.retry_delay, &log_follower::request_next_page);
        return;
    }
    if (listing_end_ && listing_era_ != mirror_.era()) {
        // The earlier pages are of another era.
        restart_listing();
        request_next_page();
        return;
    }
    listing_era_ = mirror_.era();
    for (mirrored_record& record : page.records) {
        record.era = mirror_.era();
    }
    if (page.next_page_after && !listed_pages_.insert(*page.next_page_after).second) {
        fail("list_does_not_advance");
        schedule(options_.retry_delay, &log_follower::request_next_page);
        return;
    }
    answered_ = true;
    hooks_.on_page_received();
    // The pages of a listing are not one snapshot.  Reading therefore starts at the log's end as
    // of the first page, which covers changes made while later pages were fetched.
    listing_end_ = listing_end_.value_or(page.log_end);
    // Each page's records are usable at once.  Only after the last page can keys that are
    // missing from the listing be treated as deleted.
    for (const mirrored_record& record : page.records) {
        if (!mirror_.apply(record)) {
            ++listed_and_ignored_;
        }
    }
    listed_records_.insert(listed_records_.end(), std::make_move_iterator(page.records.begin()),
                           std::make_move_iterator(page.records.end()));
    hooks_.on_records_applied();
    next_page_after_ = page.next_page_after;
    if (next_page_after_) {
        request_next_page();
        return;
    }
    log_event(event_id::records_resynchronised, "log={} era={} keys={} ignored={} end={} before={}",
              options_.name, mirror_.era(), listed_records_.size(), listed_and_ignored_,
              *listing_end_, mirror_.position().value_or(0));
    mirror_.apply_listing(std::exchange(listed_records_, {}), *listing_end_);
    restart_listing();
    ++vain_listings_;
    hooks_.on_records_applied();
    read_next();
}

void log_follower::read_next()
{
    if (hooks_.should_read && !hooks_.should_read()) {
        schedule(options_.read_interval, &log_follower::read_next);
        return;
    }
    read_now();
}

void log_follower::read_now()
{
    if (!mirror_.position()) { // a peer has told of a later era
        request_next_page();
        return;
    }
    read_era_ = mirror_.era();
    read_pending_ = options_.wait > 0ms;
    hooks_.read(mirror_.position().value_or(0), options_.wait, [this](keyed_log_page page) {
        handle([&] { handle_read_page(std::move(page)); });
    });
}

void log_follower::handle_read_page(keyed_log_page page)
{
    read_pending_ = false;
    if (page.end == log_call_status::failed) {
        fail(page.error);
        schedule(options_.retry_delay, &log_follower::read_next);
        return;
    }
    if (read_era_ != mirror_.era()) { // a peer has told of a later era meanwhile
        read_next();
        return;
    }
    if (!follow_era(page)) {
        fail("earlier_era");
        schedule(options_.retry_delay, &log_follower::read_next);
        return;
    }
    if (page.end == log_call_status::truncated && vain_listings_ > 1) {
        schedule(options_.read_interval, &log_follower::request_next_page);
        return;
    }
    if (page.end == log_call_status::truncated || !mirror_.position()) {
        request_next_page();
        return;
    }
    answered_ = true;
    vain_listings_ = 0;
    hooks_.on_page_received();
    for (mirrored_record& record : page.records) {
        record.era = mirror_.era();
        const std::uint64_t next = record.offset + 1;
        mirror_.apply(std::move(record));
        mirror_.advance(next);
    }
    const bool advanced = page.next_offset > mirror_.position().value_or(0);
    mirror_.advance(page.next_offset);
    hooks_.on_records_applied();
    const bool more = mirror_.position().value_or(0) < page.log_end;
    // Otherwise reading again at once would bring nothing either.
    if (more && page.records.empty() && !advanced) {
        schedule(options_.read_interval, &log_follower::read_next);
        return;
    }
    if (more) {
        read_now();
        return;
    }
    schedule(page.records.empty() && options_.wait > 0ms ? 0ms : options_.read_interval,
             &log_follower::read_next);
}

void log_follower::fail(const std::string& error)
{
    answered_ = false;
    hooks_.on_failed(error);
}

} // namespace cyclamen
