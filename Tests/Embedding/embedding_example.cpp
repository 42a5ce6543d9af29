#include <claim_ledger.h>
#include <fmt/format.h>
#include <placement.h>

// Uses engine placement and the claim ledger as a library, without the daemons.
int main()
{
    const std::vector<cyclamen::placement_candidate> engines{{11, 0}, {22, 1}, {33, 2}};
    const auto order = cyclamen::rank_engines({.prefix = 7, .chat = 9}, engines, 2, 3);
    cyclamen::claim_ledger ledger;
    cyclamen::claim_record record;
    record.claims.push_back({.key = "jar", .token = "a", .fingerprint = 1});
    record.claims.push_back({.key = "jar", .token = "b", .fingerprint = 1});
    ledger.apply(0, cyclamen::millis(0), record);
    fmt::print("preferred engine {}, key held by token {}\n", order.front(),
               ledger.status("jar").token);
    return ledger.holds("jar", "a") && !ledger.holds("jar", "b") ? 0 : 1;
}
