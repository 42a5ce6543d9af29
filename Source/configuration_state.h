#pragma once

#include "enum_names.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamen {

/// The action of an order.
enum class order_verb { take_out, restore, drain, put, remove, quarantine, release };

inline constexpr std::array order_verb_names{
    enum_name<order_verb>{order_verb::take_out, "take_out"},
    enum_name<order_verb>{order_verb::restore, "restore"},
    enum_name<order_verb>{order_verb::drain, "drain"},
    enum_name<order_verb>{order_verb::put, "put"},
    enum_name<order_verb>{order_verb::remove, "remove"},
    enum_name<order_verb>{order_verb::quarantine, "quarantine"},
    enum_name<order_verb>{order_verb::release, "release"},
};

/// The type of object that an order acts on.
enum class subject_kind { availability_zone, backend_server, service, client_account, request };

inline constexpr std::array subject_kind_names{
    enum_name<subject_kind>{subject_kind::availability_zone, "availability_zone"},
    enum_name<subject_kind>{subject_kind::backend_server, "backend_server"},
    enum_name<subject_kind>{subject_kind::service, "service"},
    enum_name<subject_kind>{subject_kind::client_account, "client_account"},
    enum_name<subject_kind>{subject_kind::request, "request"},
};

/// One change of the configuration.  The orders of a command take effect together or not at all.
struct configuration_order {
    order_verb verb = order_verb::put;
    subject_kind subject = subject_kind::service;
    std::string name;
    std::map<std::string, std::string> fields; // settings of the subject; only for `put`
};

/// A command as a record of the configuration stream.
struct configuration_command {
    std::string id; // unique; further records with the same id have no effect
    std::string by; // name of the operator
    // If set, the command is a conflict unless this is the revision in force.
    std::optional<std::uint64_t> expected_revision;
    std::vector<configuration_order> orders;

    std::string encode() const;
    static std::optional<configuration_command> decode(std::string_view text, std::string& reason);
};

/// The result of applying a command.
enum class command_result { accepted, conflict, invalid };

inline constexpr std::array command_result_names{
    enum_name<command_result>{command_result::accepted, "accepted"},
    enum_name<command_result>{command_result::conflict, "conflict"},
    enum_name<command_result>{command_result::invalid, "invalid"},
};

struct command_outcome {
    std::string id;
    std::string by;
    command_result result = command_result::accepted;
    std::uint64_t revision = 0;  // revision in force after the command, also if it is a conflict
    std::string revision_author; // operator whose command made that revision
    std::string reason;          // why the command is `invalid`; empty otherwise
};

struct service_settings {
    bool model = false;      // true for a model, false for a plain service
    bool repeatable = false; // true if all calls of a plain service are safe to retry
};

struct account_settings {
    std::string credential_sha256;
    double weight = 1;
};

/// The configuration in force.  It is a function of the records of the stream alone, so all
/// processes that have applied the records up to the same offset have equal states.  The offset
/// never decreases.  Owned by the configuration feed of each process.
class configuration_state {
public:
    /// Applies the record at `offset`; ignores it if it was already applied.  Returns false if
    /// `offset` is above `offset()`: the records before it must be applied first.
    bool apply(std::uint64_t offset, std::string_view record);

    /// Offset of the next record to apply.
    std::uint64_t offset() const { return offset_; }
    /// Number of commands accepted so far.
    std::uint64_t revision() const { return revision_; }

    /// True if the availability zone was taken out of service.
    bool zone_out(const std::string& zone) const { return zones_out_.contains(zone); }
    bool drained(const std::string& instance) const { return drained_.contains(instance); }
    /// True if an operator has quarantined the requests with this fingerprint.
    bool quarantined(std::uint64_t fingerprint) const;
    const service_settings* service(const std::string& name) const;
    const account_settings* account(const std::string& name) const;
    /// Name of the account whose credential has this digest, or an empty string.
    std::string account_of(const std::string& credential_sha256) const;
    /// Outcome of a recent command, or nullptr.
    const command_outcome* command(const std::string& id) const;

    const std::map<std::string, std::uint64_t>& zones_out() const { return zones_out_; }
    const std::map<std::string, std::uint64_t>& drained() const { return drained_; }
    const std::map<std::string, service_settings>& services() const { return services_; }
    const std::map<std::string, account_settings>& accounts() const { return accounts_; }
    const std::deque<command_outcome>& commands() const { return commands_; }

    /// True if a record of the stream is a snapshot rather than a command.
    static bool is_snapshot(std::string_view record);
    /// Serializes the whole state as a record; equal states give equal text.
    std::string snapshot() const;
    /// Replaces the state by a snapshot.  Returns false, without a change, if the text is not a
    /// snapshot or its offset is not above `offset()`.
    bool restore(std::string_view snapshot);

private:
    void apply_command(const configuration_command& command);
    std::optional<std::string> find_error(const configuration_command& command) const;
    void apply_order(const configuration_order& order);
    void record_outcome(command_outcome outcome);

    std::uint64_t offset_ = 0;
    std::uint64_t revision_ = 0;
    std::string revision_author_;
    // Names with the revision of the order that added them.  The name of a quarantined request is
    // its fingerprint as 16 lower-case hexadecimal digits.
    std::map<std::string, std::uint64_t> zones_out_;
    std::map<std::string, std::uint64_t> drained_;
    std::map<std::string, std::uint64_t> quarantined_;
    std::map<std::string, service_settings> services_;
    std::map<std::string, account_settings> accounts_;
    std::map<std::string, std::string> account_by_credential_;
    std::deque<command_outcome> commands_; // outcomes of recent commands, oldest first
};

} // namespace cyclamen
