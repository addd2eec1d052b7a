# What this appliance opens and keeps besides the platform's front: a Starlark-like script. Nothing here is on until
# its line is; 'wharftrestle settings show FILE' prints all that can be set, with its meaning. Give the file to
# 'serve --appliance'. The platform's run line names no script.

# uwsgi(listen = "127.0.0.1:3031", held_kb = 24)
# control(listen = "127.0.0.1:7401")
# snmp(listen = "127.0.0.1:7161", community = "public")
# durable(dir = "/var/lib/wharftrestle/results", max_mb = 64, sync = "group")
