#pragma once

#include "kernel.h"
#include "service.h"

#include <nlohmann/json_fwd.hpp>
#include <wire.pb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace cyclamen {

class relay_state;

/// Keeps what crashes servers beyond the life of all entries: reads the quarantined suspects, and
/// those that are one crash short of it, from a store at the start, and stores those that the
/// entries find later.  Owned by the kernel
/// as "quarantine".
class quarantine_archive : public service {
public:
    struct hooks {
        /// Reads the stored suspects; passes nothing on if the store did not answer.
        std::function<void(std::function<void(std::optional<std::vector<wire::suspect_record>>)>)>
            read;
        /// Stores what is known of a suspect; passes on whether the store has confirmed that.
        std::function<void(const wire::suspect_record&, std::function<void(bool stored)>)> store;
        /// Removes a suspect from the store.
        std::function<void(std::uint64_t suspect, std::function<void(bool removed)>)> remove;
        /// False while peers write to the store for this entry.
        std::function<bool()> should_write;
    };

    quarantine_archive(kernel& core, hooks collaborators)
        : core_(core), hooks_(std::move(collaborators))
    {
    }

    std::string_view name() const override { return "quarantine"; }
    void start() override;
    nlohmann::json describe() const override;

    /// Reads again what the store holds, and then stores what it lacks: the store was restored from
    /// an older copy.
    void store_restored();

private:
    void synchronise();
    void read();
    void on_written(std::uint64_t suspect, std::optional<bool> quarantined, bool confirmed);

    kernel& core_;
    hooks hooks_;
    relay_state* state_ = nullptr;
    bool read_done_ = false;
    bool call_open_ = false;
    unsigned restores_ = 0; // restores of the store that were noticed
    // Suspects that the store holds, as far as known here, and whether they were quarantined when
    // they were written.
    std::map<std::uint64_t, bool> stored_;
    kernel::timer timer_;
};

} // namespace cyclamen
