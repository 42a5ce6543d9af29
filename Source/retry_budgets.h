#pragma once

#include "retry_budget.h"

#include <algorithm>
#include <map>
#include <string>

namespace cyclamen {

struct retry_budgets_options {
    double share = 0.18;       // retries added to the balance per request
    double fleet_reserve = 40; // maximum balance, summed over all entries
};

/// This entry's share of the retry budget of each service.  Owned by the relay server.
class retry_budgets {
public:
    explicit retry_budgets(retry_budgets_options options) : options_(options) {}

    /// Sets the number of entries that share the reserve.
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
    void record_first_attempt(const std::string& service)
    {
        budget(service).record_first_attempt();
    }
    /// Takes one retry from the service's balance; returns false if none is left.
    bool take(const std::string& service) { return budget(service).take(); }

private:
    retry_budget_options per_entry_options() const
    {
        return {.share = options_.share, .reserve = options_.fleet_reserve / entries_};
    }

    void apply()
    {
        for (auto& [service, budget] : budgets_) {
            budget.set_options(per_entry_options());
        }
    }

    retry_budget& budget(const std::string& service)
    {
        return budgets_.try_emplace(service, per_entry_options()).first->second;
    }

    retry_budgets_options options_;
    unsigned entries_ = 1;
    std::map<std::string, retry_budget> budgets_;
};

} // namespace cyclamen
