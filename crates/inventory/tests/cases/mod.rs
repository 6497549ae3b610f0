//! Invalid files with the expected problem: the format, the bytes, and the place and a part of the message.

use tindock_inventory::InputFormat::{self, Csv, Yaml};

pub struct Case {
    pub form: InputFormat,
    pub bytes: Vec<u8>,
    /// `line:column: ` of a problem, and a part of its message.
    pub at: &'static str,
    pub message: &'static str,
}

fn case(form: InputFormat, bytes: impl Into<Vec<u8>>, at: &'static str, message: &'static str) -> Case {
    Case { form, bytes: bytes.into(), at, message }
}

const HEAD: &str = "name,address,zone,kind,slots\n";

fn csv(rows: &str, at: &'static str, message: &'static str) -> Case {
    case(Csv, format!("{HEAD}{rows}"), at, message)
}

fn yaml(text: &str, at: &'static str, message: &'static str) -> Case {
    case(Yaml, text, at, message)
}

/// A group `y` with these hosts, and variables for all required fields of its hosts.
fn group(hosts: &str, at: &'static str, message: &'static str) -> Case {
    let vars = "  vars: {zone: a, kind: std, slots: 2, port: 5000}\n";
    case(Yaml, format!("y:\n{vars}  hosts:\n{hosts}"), at, message)
}

pub fn all() -> Vec<Case> {
    let utf16: Vec<u8> = HEAD.encode_utf16().flat_map(u16::to_le_bytes).collect();
    let bomb = {
        let mut text = String::from("a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n");
        for n in 1..9 {
            let before = vec![format!("*a{}", n - 1); 10].join(", ");
            text += &format!("a{n}: &a{n} [{before}]\n");
        }
        text
    };
    let deep = format!("{}\n", "[".repeat(100));
    let mut cases = vec![
        // Whole files.
        case(Csv, "", "1:1: ", "is empty"),
        case(Yaml, "", "1:1: ", "is empty"),
        case(Csv, " \n\n", "1:1: ", "is empty"),
        case(Csv, "\u{feff}\n", "1:1: ", "is empty"),
        case(Yaml, "# nobody\n", "1:1: ", "no document"),
        case(Yaml, "---\n", "2:1: ", "neither groups nor a list"),
        case(Csv, HEAD, "1:1: ", "names no worker"),
        case(Yaml, "[]\n", "1:1: ", "names no worker"),
        case(Yaml, "all: {}\n", "1:1: ", "names no worker"),
        case(Csv, [&[0xff, 0xfe][..], &utf16].concat(), "1:1: ", "UTF-16"),
        case(
            Csv,
            b"name,address,zone,kind,slots\ny,10.0.0.1:1,Z\xfcrich,std,2\n".to_vec(),
            "2:15: ",
            "0xfc is not valid UTF-8",
        ),
        case(Yaml, b"y:\n  hosts:\n    r\xe9gal:\n".to_vec(), "3:6: ", "Latin-1"),
        case(Csv, "name,address,zone,kind,slots\ny,10.0.0.1:1,a,s\0td,2\n", "2:17: ", "zero byte"),
        case(Csv, format!("{HEAD}y,10.0.0.1:1,a,std,2"), "2:21: ", "no line end"),
        case(Yaml, "- name: y", "1:10: ", "no line end"),
        // A header.
        case(Csv, "y,10.0.0.1:1,a,std,2\nz,10.0.0.2:1,a,std,2\n", "1:1: ", "no column \"name\""),
        case(
            Csv,
            "name,name,address,zone,kind,slots\ny,z,10.0.0.1:1,a,std,2\n",
            "1:6: ",
            "duplicate column \"name\"",
        ),
        case(Csv, "name,address,zone,kind\ny,10.0.0.1:1,a,std\n", "1:1: ", "no column \"slots\""),
        case(Csv, "name,zone,kind,slots\ny,a,std,2\n", "1:1: ", "neither \"address\" nor \"port\""),
        case(Csv, "name;address;zone;kind;slots\ny;10.0.0.1:1;a;std;2\n", "1:1: ", "no column \"name\""),
        // Rows.
        csv("y,10.0.0.1:1,a,std\n", "2:1: ", "4 fields are too few"),
        csv("y,10.0.0.1:1,a,std,2,3\n", "2:1: ", "6 fields are too many"),
        csv("y,10.0.0.1:1,a,std,2\n,10.0.0.2:1,a,std,2\n", "3:1: ", "no name"),
        csv("y,,a,std,2\n", "2:1: ", "neither address nor port"),
        csv("y,10.0.0.1,a,std,2\n", "2:3: ", "host:port was expected"),
        csv("y,10.0.0.1:0,a,std,2\n", "2:3: ", "no port"),
        csv("y,10.0.0.1:65536,a,std,2\n", "2:3: ", "no port"),
        csv("y,10.0.0.1:+80,a,std,2\n", "2:3: ", "no port"),
        csv("y,10.0.0.256:80,a,std,2\n", "2:3: ", "neither an address nor"),
        csv("y,10.0.1:80,a,std,2\n", "2:3: ", "neither an address nor"),
        csv("y,::1:80,a,std,2\n", "2:3: ", "brackets"),
        csv("y,[::g]:80,a,std,2\n", "2:3: ", "no v6 address"),
        csv("y,-yard:80,a,std,2\n", "2:3: ", "neither an address nor"),
        csv("y,http://yard:80,a,std,2\n", "2:3: ", "neither an address nor"),
        csv("y,10.0.0.1:80,a,std,0\n", "2:21: ", "number from 1 to 1024"),
        csv("y,10.0.0.1:80,a,std,-1\n", "2:21: ", "number from 1 to 1024"),
        csv("y,10.0.0.1:80,a,std,many\n", "2:21: ", "number from 1 to 1024"),
        csv("y,10.0.0.1:80,a,std,NaN\n", "2:21: ", "number from 1 to 1024"),
        csv("y,10.0.0.1:80,a,std,1e9\n", "2:21: ", "number from 1 to 1024"),
        csv("yard 7,10.0.0.1:80,a,std,2\n", "2:1: ", "without spaces"),
        csv("y,10.0.0.1:80,,std,2\n", "2:1: ", "no zone"),
        csv("y,10.0.0.1:80,a,\"std,2\nz,10.0.0.2:80,a,std,2\n", "2:", "too few"),
        csv("y,10.0.0.1:80,a,\"s\ntd\",2\n", "2:", "over several lines"),
        csv(
            "y,10.0.0.1:80,a,std,2\ny,10.0.0.2:80,a,std,2\n",
            "3:1: ",
            "defined again at another address; first defined at f:2:1",
        ),
        csv(
            "y,10.0.0.1:80,a,std,2\nz,10.0.0.2:80,a,std,2\ny,10.0.0.1:80,a,std,2\n",
            "4:1: ",
            "\"y\" is defined again; first defined at f:2:1",
        ),
        csv(
            "yard-7.wor-1.example.org,10.0.0.7:80,a,std,2\n10.0.0.7,10.0.0.7:80,a,std,2\n",
            "3:1: ",
            "and so is \"yard-7.wor-1.example.org\" at f:2:1",
        ),
        csv(
            "y,YARD.example.org:80,a,std,2\nz,yard.example.org.:80,a,std,2\n",
            "3:1: ",
            "and so is \"y\" at f:2:1",
        ),
        case(Csv, "name,address,zone,kind,slots,group\ny,10.0.0.1:1,a,std,2,-1\n", "2:22: ", "whole number"),
        case(
            Csv,
            "name,address,zone,kind,slots,state\ny,10.0.0.1:1,a,std,2,gone\n",
            "2:22: ",
            "active or leaving",
        ),
        case(
            Csv,
            "name,address,port,zone,kind,slots\ny,10.0.0.1:1,1,a,std,2\n",
            "2:14: ",
            "beside a whole address",
        ),
        // YAML.
        yaml("y:\n\thosts:\n", "2:", "invalid YAML"),
        yaml("y: [\n", "2:", "invalid YAML"),
        yaml("y: \"open\n", "1:", "invalid YAML"),
        yaml("a: 1\n b: 2\n", "2:", "invalid YAML"),
        yaml("- name: y\n---\n- name: z\n", "2:", "a second document"),
        yaml("just words\n", "1:1: ", "neither groups nor a list"),
        yaml("- y\n", "1:3: ", "a scalar; a worker's fields expected"),
        yaml("- name: y\n  name: z\n", "2:3: ", "duplicate key \"name\"; first defined in line 1"),
        yaml(
            "- name: [y]\n  address: 10.0.0.1:1\n  zone: a\n  kind: k\n  slots: 1\n",
            "1:9: ",
            "a list for name",
        ),
        yaml("- name: !!str y\n", "1:", "a tag"),
        yaml("- {[a]: 1}\n", "1:", "as a key"),
        yaml("- &a {name: y}\n- {<<: *a}\n", "2:4: ", "merge key"),
        yaml("- *nobody\n", "1:", "invalid YAML"),
        yaml("y: 5\n", "1:4: ", "a scalar; a group's"),
        yaml("y:\n  host:\n    z:\n", "2:3: ", "\"host\" in group \"y\""),
        yaml("y:\n  hosts: [z]\n", "2:10: ", "a list; hosts expected"),
        yaml(
            "y:\n  children:\n    z:\n      children:\n        y:\n",
            "1:1: ",
            "contain each other: \"y\", \"z\"",
        ),
        yaml("y:\n  hosts:\n    z: {address: \"10.0.0.1:1\"}\n", "3:5: ", "no zone"),
        case(Yaml, bomb, "", "aliases expanded"),
        case(Yaml, deep, "1:65: ", "nested deeper"),
        group("    z:\n    z:\n", "5:5: ", "duplicate key \"z\""),
        group("    y-[1:3:\n", "4:", "without its ]"),
        group("    y-[3:1]:\n", "4:5: ", "backwards"),
        group("    y-[01:100]:\n", "4:5: ", "different widths"),
        group("    y-[1:9999999]:\n", "4:5: ", "more than 100000"),
        group("    y-[1:999]-[1:999]:\n", "4:5: ", "more than 100000"),
        group("    y-[1:3]: {address: \"10.0.0.1:1\"}\n", "4:5: ", "is at 10.0.0.1:1, and so is"),
        group("    z: {slots: lots}\n", "4:16: ", "number from 1 to 1024"),
        group("    z: {host: 10.0.0.1}\n    10.0.0.1: {}\n", "5:5: ", "and so is \"z\" at f:4:5"),
    ];
    let two = "a: {vars: {zone: n}, hosts: {z: {port: 1, kind: k, slots: 1}}}\nb: {vars: {zone: s}, hosts: {z: }}\n";
    cases.push(yaml(two, "2:18: ", "different in group \"a\" (line 1)"));
    let twice = "a: {hosts: {z: {port: 1, zone: n, kind: k, slots: 1}}}\nb: {hosts: {z: {port: 2}}}\n";
    cases.push(yaml(twice, "2:23: ", "port of host \"z\" has different values"));
    cases
}
