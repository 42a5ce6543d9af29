// Tests that bytes of callers and backend servers which no one expects do no harm.

#include "chat_request.h"
#include "claim_record.h"

#include <gtest/gtest.h>

using namespace cyclamen;

namespace {

// A chat whose only message has content in so many arrays, one in the other.
std::string nested_chat(std::size_t levels)
{
    return R"({"model":"m","messages":[{"role":"user","content":)" + std::string(levels, '[') +
           std::string(levels, ']') + "}]}";
}

} // namespace

// Guards against a process whose stack overflows while it handles a body of a few hundred KB.
TEST(foreign_bytes, of_deeply_nested_chats_are_rejected)
{
    std::string reason;
    EXPECT_FALSE(chat_request::parse(nested_chat(2000000), "ann", reason));
    EXPECT_EQ(reason, "values are nested more than 128 levels deep");
}

TEST(foreign_bytes, of_chats_with_some_nesting_are_read)
{
    std::string reason;
    EXPECT_TRUE(chat_request::parse(nested_chat(100), "ann", reason)) << reason;
}

// Guards against an agent that ends because a backend server's content type is not UTF-8.
TEST(foreign_bytes, in_a_recorded_content_type_can_be_written)
{
    claim_record record;
    record.answers.push_back(
        {.key = "k", .token = "t", .status = 200, .content_type = "text/\xff", .body = "b"});
    std::string text;
    ASSERT_NO_THROW(text = record.encode());
    std::string reason;
    const auto read = claim_record::decode(text, reason);
    ASSERT_TRUE(read) << reason;
    EXPECT_EQ(read->answers.at(0).token, "t");
}
