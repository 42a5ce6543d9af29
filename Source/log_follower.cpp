#include "log_follower.h"

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
    list_next();
}

void log_follower::later(millis delay, void (log_follower::*step)())
{
    timer_ = core_.after(delay, [this, step] { (this->*step)(); });
}

void log_follower::list_next()
{
    hooks_.list(after_, [this](log_page page) { page_listed(std::move(page)); });
}

void log_follower::page_listed(log_page page)
{
    if (page.end != log_call_end::answered) {
        fail(page.why);
        later(options_.retry_pause, &log_follower::list_next);
        return;
    }
    answered_ = true;
    hooks_.on_answered();
    // The pages of a listing are not one snapshot.  Reading therefore starts at the log's end as
    // of the first page, which covers changes made while later pages were fetched.
    listing_end_ = listing_end_.value_or(page.log_end);
    // Each page's records are usable at once.  Only after the last page can keys that are
    // missing from the listing be treated as deleted.
    for (const mirrored_record& record : page.records) {
        mirror_.apply(record);
    }
    listed_.insert(listed_.end(), std::make_move_iterator(page.records.begin()),
                   std::make_move_iterator(page.records.end()));
    hooks_.on_taken();
    after_ = page.more_after;
    if (after_) {
        list_next();
        return;
    }
    log_event(event_id::records_resynchronised, "log={} keys={} end={} before={}", options_.name,
              listed_.size(), *listing_end_, mirror_.position().value_or(0));
    mirror_.apply_listing(std::exchange(listed_, {}), *listing_end_);
    listing_end_.reset();
    hooks_.on_taken();
    read_next();
}

void log_follower::read_next()
{
    if (hooks_.should_read && !hooks_.should_read()) {
        later(options_.pause, &log_follower::read_next);
        return;
    }
    read_now();
}

void log_follower::read_now()
{
    waiting_ = options_.wait > 0ms;
    hooks_.read(mirror_.position().value_or(0), options_.wait,
                [this](log_page page) { page_read(std::move(page)); });
}

void log_follower::page_read(log_page page)
{
    waiting_ = false;
    if (page.end == log_call_end::gone) {
        list_next();
        return;
    }
    if (page.end == log_call_end::failed) {
        fail(page.why);
        later(options_.retry_pause, &log_follower::read_next);
        return;
    }
    answered_ = true;
    hooks_.on_answered();
    for (mirrored_record& record : page.records) {
        mirror_.advance(record.offset + 1);
        mirror_.apply(std::move(record));
    }
    hooks_.on_taken();
    if (mirror_.position().value_or(0) < page.log_end) {
        read_now();
        return;
    }
    later(page.records.empty() && options_.wait > 0ms ? 0ms : options_.pause,
          &log_follower::read_next);
}

void log_follower::fail(const std::string& why)
{
    answered_ = false;
    hooks_.on_failed(why);
}

} // namespace cyclamen
