#include "fleet_process.h"
#include "program_arguments.h"
#include "program_settings.h"

int main(int argc, char** argv)
{
    return cyclamen::run_daemon(argc, argv,
                                "Accepts callers' requests and routes them to backend servers.",
                                cyclamen::entry_schema(), cyclamen::serve_entry);
}
