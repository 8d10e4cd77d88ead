//! The little of JSON and base64 that the stand-ins need.

/// The value of a field of a flat JSON object: text without its quotation marks,
/// or a number.
pub fn json_field(body: &str, name: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
    let rest = rest.trim_start();
    if let Some(text) = rest.strip_prefix('"') {
        return Some(text.split('"').next().unwrap_or_default().to_owned());
    }
    let end = rest.find([',', '}', ']']).unwrap_or(rest.len());
    Some(rest[..end].trim().to_owned())
}

/// The objects of a list field of a JSON object, without nesting in braces.
pub fn json_objects(body: &str, name: &str) -> Vec<String> {
    let Some((_, rest)) = body.split_once(&format!("\"{name}\":[")) else {
        return vec![];
    };
    let (mut objects, mut depth, mut quoted, mut escaped) = (vec![], 0, false, false);
    let mut object = String::new();
    for letter in rest.chars() {
        if quoted {
            quoted = escaped || letter != '"';
            escaped = !escaped && letter == '\\';
        } else {
            match letter {
                '"' => quoted = true,
                '{' => depth += 1,
                '}' => depth -= 1,
                ']' if depth == 0 => break,
                _ => {}
            }
        }
        if depth > 0 || letter == '}' {
            object.push(letter);
        }
        if depth == 0 && letter == '}' {
            objects.push(std::mem::take(&mut object));
        }
    }
    objects
}

pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let all = chunk.iter().fold(0_u32, |all, byte| all << 8 | u32::from(*byte));
        let all = all << (8 * (3 - chunk.len()));
        for at in 0..4 {
            let letter = LETTERS[(all >> (18 - 6 * at) & 63) as usize];
            text.push(if at > chunk.len() { '=' } else { char::from(letter) });
        }
    }
    text
}
