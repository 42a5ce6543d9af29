#pragma once

namespace cyclamen {

struct retry_budget_options {
    double share = 0.1;    // retries added to the balance per first attempt
    double reserve = 10.0; // maximum and initial balance
};

/// Limits retries to a share of first attempts, so that retries do not amplify an overload.
/// Owned by the entry.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options)
        : options_(options), balance_(options.reserve)
    {
    }

    /// Counts the first attempt of a request, which adds to the balance.
    void record_first_attempt()
    {
        balance_ += options_.share;
        balance_ = balance_ < options_.reserve ? balance_ : options_.reserve;
    }

    /// Takes one retry from the balance; returns false if none is left.
    bool take()
    {
        if (balance_ < 1) {
            return false;
        }
        balance_ -= 1;
        return true;
    }

    double balance() const { return balance_; }

    /// Changes the share and the reserve; caps the balance at the new reserve.
    void set_options(retry_budget_options options)
    {
        options_ = options;
        balance_ = balance_ < options.reserve ? balance_ : options.reserve;
    }

private:
    retry_budget_options options_;
    double balance_;
};

} // namespace cyclamen
