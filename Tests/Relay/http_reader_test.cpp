// The HTTP reader parses messages identically however their bytes are split.

#include "http_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cyclamen;

namespace {

struct read_result {
    std::string body;
    http_head head;
    bool complete = false;
    http_parse_error parse_error = http_parse_error::none;
    std::size_t used = 0;
};

// Feeds `text` in chunks of 1 to 40 bytes, whose lengths cycle through `sizes`, or in one piece if
// `sizes` is empty.
read_result read_in_parts(http_message_type message_type, const std::string& text,
                          const std::vector<std::size_t>& sizes)
{
    read_result result;
    http_reader reader(message_type,
                       {.on_head = [&](http_head& head) { result.head = head; },
                        .on_body = [&](std::string_view data) { result.body.append(data); }});
    std::size_t turn = 0;
    while (result.used < text.size() && !reader.complete() &&
           reader.parse_error() == http_parse_error::none) {
        const std::size_t size =
            sizes.empty() ? text.size() : 1 + sizes[turn++ % sizes.size()] % 40;
        result.used += reader.feed(std::string_view(text).substr(result.used, size));
    }
    result.complete = reader.complete();
    result.parse_error = reader.parse_error();
    return result;
}

} // namespace

RC_GTEST_PROP(http_reader, reads_the_same_however_the_bytes_are_cut, ())
{
    const auto sizes = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange(0, 40));
    const std::string chunked = "POST /a?b HTTP/1.1\r\nHost: h\r\nX-Long: v v\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n3\r\nyou\r\n"
                                "0\r\nT: 1\r\n\r\n";
    const read_result got = read_in_parts(http_message_type::request, chunked + "GET / HT", sizes);
    RC_ASSERT(got.complete);
    RC_ASSERT(got.used == chunked.size());
    RC_ASSERT(got.body == "hello" + std::string("you"));
    RC_ASSERT(got.head.target == "/a?b");
    RC_ASSERT(got.head.header_or("x-long", "") == "v v");
}

RC_GTEST_PROP(http_reader, survives_any_bytes, ())
{
    const auto text = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    const auto message_type =
        *rc::gen::element(http_message_type::request, http_message_type::response);
    const read_result got = read_in_parts(message_type, "HTTP/1.1 200 " + text, {3, 1, 17});
    RC_ASSERT(got.used <= text.size() + 13);
}

TEST(http_reader, tells_an_early_end_from_a_whole_answer)
{
    const auto end_after = [](const std::string& text) {
        http_reader reader(http_message_type::response, {});
        reader.feed(text);
        reader.feed_end();
        return reader.complete();
    };
    EXPECT_TRUE(end_after("HTTP/1.1 200 OK\r\n\r\nto the end"));
    EXPECT_FALSE(end_after("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort"));
    EXPECT_FALSE(end_after("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"));
    EXPECT_FALSE(end_after("HTTP/1.1 200 OK\r\nContent-"));
}

// Guards against a head that takes far more memory than its text, by very many short fields.
TEST(http_reader, rejects_a_head_of_very_many_fields)
{
    const auto read = [](std::size_t fields) {
        http_reader reader(http_message_type::response, {});
        reader.feed("HTTP/1.1 200 OK\r\n");
        for (std::size_t count = 0; count < fields; ++count) {
            reader.feed("a:\r\n");
        }
        reader.feed("Content-Length: 0\r\n\r\n");
        return std::pair(reader.parse_error(), reader.head_size());
    };
    EXPECT_EQ(read(500).first, http_parse_error::none);
    EXPECT_EQ(read(100000).first, http_parse_error::head_too_large);
    EXPECT_LT(read(100000).second, 100000U);
}

// Guards against content of a request that runs as a request of its own.
TEST(http_reader, rejects_connect_whose_content_is_the_text_of_a_request)
{
    const std::string inner = "POST /pay/ HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    std::size_t heads = 0;
    http_reader reader(http_message_type::request, {.on_head = [&](http_head&) { ++heads; }});
    const std::string text =
        "CONNECT /pay/ HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(inner.size()) +
        "\r\n\r\n" + inner;
    reader.feed(text);
    EXPECT_EQ(reader.parse_error(), http_parse_error::malformed);
    EXPECT_EQ(reader.feed(inner), 0U);
    EXPECT_EQ(heads, 0U);
}
