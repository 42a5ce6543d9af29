#pragma once

#include "retry_budget.h"

#include <algorithm>
#include <map>
#include <string>

namespace cyclamen {

struct retry_budgets_options {
    double share = 0.18;       // repeats earned by each request
    double fleet_reserve = 40; // repeats saved up, by all entries together
};

/// The retry budget of each service, of which an entry holds its share.  Owned by the
/// relay's port.
class retry_budgets {
public:
    explicit retry_budgets(retry_budgets_options options) : options_(options) {}

    /// Entries among which the reserve is shared.
    void set_entries(unsigned entries)
    {
        entries_ = std::max(1U, entries);
        apply();
    }
    void set_options(retry_budgets_options options)
    {
        options_ = options;
        apply();
    }
    void first_try(const std::string& service) { budget(service).first_try(); }
    bool take(const std::string& service) { return budget(service).take(); }

private:
    retry_budget_options own() const
    {
        return {.share = options_.share, .reserve = options_.fleet_reserve / entries_};
    }

    void apply()
    {
        for (auto& [service, budget] : budgets_) {
            budget.set_options(own());
        }
    }

    retry_budget& budget(const std::string& service)
    {
        return budgets_.try_emplace(service, own()).first->second;
    }

    retry_budgets_options options_;
    unsigned entries_ = 1;
    std::map<std::string, retry_budget> budgets_;
};

} // namespace cyclamen
