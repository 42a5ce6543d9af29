#pragma once

#include "kernel.h"
#include "message_socket.h"
#include "net_address.h"
#include "prompt_places.h"
#include "record_mirror.h"
#include "service.h"

#include <sigc++/sigc++.h>
#include <wire.pb.h>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cyclamen {

class relay_knowledge;

struct peer_news_options {
    net_address listen;
    std::vector<net_address> seeds; // peers to begin with; any of them may be gone
    // Between two digests to one peer.  With more peers than `interval_peers` it grows with
    // their number, so that an entry sends 20 messages a second at any size.
    millis interval = 250ms;
    unsigned interval_peers = 5;
    unsigned peers_every = 8;         // digests from one that lists peers to the next
    millis silent_after = 1500ms;     // a peer's counts are not used any more
    millis forgotten_after = 60000ms; // a peer is not counted among the entries any more
    // Entries that read the logs, the others take what they need from these: a call to the
    // logs' service costs more than a message between entries.
    unsigned readers = 3;
    // A reader asks a peer that is ahead only then: the log itself mostly answers sooner.
    millis patience = 300ms;
    // A whole listing is long; an entry that is without asks for one only while its own
    // source has not answered for so long.
    millis listing_patience = 1000ms;
};

/// Exchanges with the other entries what each of them alone sees a part of: how far the
/// logs reach, requests in flight at backend servers, and where prompts were sent.  Hands
/// on the logs' records to an entry that the logs' service turns away.  Owned by the
/// kernel as "news".
class peer_news : public service {
public:
    peer_news(kernel& core, peer_news_options options);

    std::string_view name() const override { return "news"; }
    void start() override;
    nlohmann::json describe() const override;

    /// The mirrors whose records are handed on, orders first; set before the start.
    void set_mirrors(std::vector<record_mirror*> mirrors) { mirrors_ = std::move(mirrors); }
    /// Known entries, this one included, heard from or not within the last minute.
    unsigned entries() const { return static_cast<unsigned>(peers_.size()) + 1; }
    /// This entry has to read the logs: too few peers read them for it.
    bool reads_for_itself() const;
    /// Takes the addresses of peers from elsewhere.
    void learn(const std::vector<net_address>& addresses);

    /// The own source of records answers.
    std::function<bool()> source_answers;
    /// Raised when the number of entries has changed.
    sigc::signal<void()> entries_changed;

private:
    struct peer {
        std::unique_ptr<message_socket> socket;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        millis heard{0};
        bool answering = false;                   // its source answers
        millis told{0};                           // when it was sent a digest last
        std::vector<prompt_places::place> places; // to be told with the next
    };

    void add_peer(const std::string& address);
    void tell();
    wire::envelope digest(bool with_peers);
    void on_message(const std::string& route, const wire::envelope& message);
    void take_digest(const wire::relay_digest& digest);
    void take_counts(const std::string& address, const wire::relay_digest& digest);
    void compare(const std::string& address, const wire::relay_digest& digest);
    void hand_on(const std::string& route, const wire::record_request& request);
    void take_batch(const wire::record_batch& batch);
    void sweep();
    millis interval() const;

    kernel& core_;
    peer_news_options options_;
    relay_knowledge* knowledge_ = nullptr;
    std::unique_ptr<message_socket> bound_;
    std::map<std::string, peer> peers_; // by address
    std::vector<record_mirror*> mirrors_;
    std::vector<std::optional<millis>> behind_since_; // of each mirror
    std::uint64_t sequence_ = 0;
    kernel::timer tell_timer_;
    kernel::timer sweep_timer_;
};

} // namespace cyclamen
