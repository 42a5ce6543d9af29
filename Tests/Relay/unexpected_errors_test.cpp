// Tests that an unexpected error in the handling of one request harms no other.

#include "relay_harness.h"

#include <gtest/gtest.h>

#include <memory>
#include <stdexcept>

using namespace cyclamen;

namespace {

// At which call of the codec an error occurs.
struct codec_errors {
    bool read_request = false;
    bool write_request = false;
    bool read_response = false;
};

class unexpected_errors : public testing::Test {
protected:
    unexpected_errors() { fleet.configure(relay_harness::configuration()); }

    static void fail_if(bool failing)
    {
        if (failing) {
            throw std::runtime_error("codec");
        }
    }

    header_codec failing_codec() const
    {
        header_codec codec = platform::make_header_codec();
        codec.read_request = [this, original = codec.read_request](const http_head& head) {
            fail_if(errors.read_request);
            return original(head);
        };
        codec.write_request = [this, original = codec.write_request](
                                  const http_head& head, const backend_call_metadata& metadata) {
            fail_if(errors.write_request);
            return original(head, metadata);
        };
        codec.read_response = [this, original = codec.read_response](const http_head& head) {
            fail_if(errors.read_response);
            return original(head);
        };
        return codec;
    }

    // Sends a request and returns the status of the response.
    int status_of(const std::string& request)
    {
        scripted_caller& caller = fleet.add_caller();
        caller.send(request);
        EXPECT_TRUE(fleet.wait_for([&] {
            for (; answered < shop.requests(); ++answered) {
                shop.respond(answered, response_of(shop.header(answered, "Attempt-Id"), "done"));
            }
            return caller.status() != 0 || caller.ended();
        }));
        return caller.status();
    }

    codec_errors errors;
    relay_harness fleet{{}, {}, failing_codec()};
    scripted_backend& shop = fleet.add_backend("s1");
    std::size_t answered = 0; // requests of the backend server
};

} // namespace

TEST_F(unexpected_errors, before_a_request_is_sent_refuse_it_as_not_run)
{
    errors.read_request = true;
    EXPECT_EQ(status_of(post("/pay/", "x")), 503);
    errors.read_request = false;
    errors.write_request = true;
    EXPECT_EQ(status_of(post("/pay/", "x")), 503);
    EXPECT_EQ(shop.requests(), 0U);
    errors.write_request = false;
    EXPECT_EQ(status_of(post("/pay/", "x")), 200);
}

// Guards against a caller that is told that its request has not run although it has.
TEST_F(unexpected_errors, in_a_response_promise_nothing_about_the_request)
{
    errors.read_response = true;
    EXPECT_EQ(status_of(post("/pay/", "x")), 502);
    EXPECT_EQ(shop.requests(), 1U);
    errors.read_response = false;
    EXPECT_EQ(status_of(post("/pay/", "x")), 200);
}
