#include "load_experiment.h"
#include "program_arguments.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

namespace {

bool write_file(const std::string& path, const std::string& text)
{
    std::ofstream output(path);
    output << text;
    output.close();
    if (!output) {
        fmt::print(stderr, "{}: cannot write the file; check the path\n", path);
    }
    return bool(output);
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Runs load experiments on a simulated pool of engines with the "
                        "production routing decisions, and prints the results as CSV.",
                        ' ', cyclamen::program_version);
    TCLAP::ValueArg<std::string> plot("p", "plot", "SVG file to write a plot to", false, "", "FILE",
                                      line);
    TCLAP::SwitchArg print_settings("", "print-settings",
                                    "print the settings as a Markdown table and exit", line);
    TCLAP::UnlabeledMultiArg<std::string> files("experiment", "experiment files (INI)", false,
                                                "FILE", line);
    return cyclamen::run_program(line, argc, argv, [&] {
        const cyclamen::settings_schema schema = cyclamen::experiment_schema();
        if (print_settings.getValue()) {
            fmt::print("{}", schema.markdown_table());
            return cyclamen::exit_ok;
        }
        if (files.getValue().empty()) {
            fmt::print(stderr, "no experiment file given; see --help\n");
            return cyclamen::exit_bad_settings;
        }
        std::vector<cyclamen::experiment_row> rows;
        for (const std::string& path : files.getValue()) {
            const auto values = cyclamen::read_and_check_settings(path, schema);
            if (!values) {
                return cyclamen::exit_bad_settings;
            }
            const auto added = cyclamen::run_experiment(
                std::filesystem::path(path).stem().string(), cyclamen::make_pool_options(*values),
                static_cast<std::uint64_t>(values->integer("load", "first_seed")),
                static_cast<unsigned>(values->integer("load", "seeds")));
            rows.insert(rows.end(), added.begin(), added.end());
        }
        fmt::print("{}", cyclamen::to_csv(rows));
        if (!plot.getValue().empty() && !write_file(plot.getValue(), cyclamen::to_svg(rows))) {
            return cyclamen::exit_failure;
        }
        return cyclamen::exit_ok;
    });
}
