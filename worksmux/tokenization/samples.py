"""Sample texts in languages and formats that users write, made for this project.

The project's small vocabularies are trained on them, and the tests use them.
"""

from __future__ import annotations

SAMPLES: dict[str, str] = {
    "finnish": (
        "Mittaa liuoksen lämpötila ennen kuin lisäät happoa. Kirjaa tulos taulukkoon ja vertaa sitä "
        "edelliseen "
        "kokeeseen. Miksi reaktio hidastuu, kun lämpötila laskee? Selitä vastauksesi yhdellä esimerkillä. "
        "Heilurin jaksonaika riippuu langan pituudesta eikä punnuksen massasta, kunhan heilahdus on "
        "pieni.\n"
        "Tarkista vielä mittausvirhe: kolmen mittauksen keskiarvo on luotettavampi kuin yksittäinen "
        "lukema."
    ),
    "swedish": (
        "Mät lösningens temperatur innan du tillsätter syran. Anteckna resultatet i tabellen och "
        "jämför det med förra "
        "försöket. Varför går reaktionen långsammare när temperaturen sjunker? Förklara med ett exempel.\n"
        "Pendelns svängningstid beror på trådens längd och inte på viktens massa, så länge utslaget är "
        "litet."
    ),
    "english": (
        "Measure the temperature of the solution before you add the acid. Write the result in the "
        "table and compare "
        "it with the last trial. Why does the reaction slow down when it gets colder? Explain with one "
        "example.\n"
        "The period of a pendulum depends on the length of its string, not on the mass, as long as the "
        "swing is "
        "small. It's a good habit to check the error: we've found that three readings beat one."
    ),
    "arabic": (
        "قس درجة حرارة المحلول قبل إضافة الحمض. اكتب النتيجة في الجدول وقارنها بالتجربة السابقة. "
        "لماذا يتباطأ التفاعل عندما تنخفض الحرارة؟ اشرح بمثال واحد.\nيعتمد زمن البندول على طول الخيط "
        "لا على الكتلة."
    ),
    "russian": (
        "Измерьте температуру раствора, прежде чем добавлять кислоту. Запишите результат в таблицу и "
        "сравните его с "
        "прошлым опытом. Почему реакция замедляется, когда становится холоднее? Объясните на примере.\n"
        "Период маятника зависит от длины нити, а не от массы груза, пока размах мал."
    ),
    "chinese": (
        "加入酸之前先测量溶液的温度。把结果写进表格，并与上一次实验比较。"
        "为什么温度降低时反应变慢？请举一个例子说明。\n"
        "只要摆幅很小，单摆的周期取决于摆线的长度，而与质量无关。"
    ),
    "hindi": (
        "अम्ल मिलाने से पहले घोल का तापमान मापें। परिणाम तालिका में लिखें और पिछले प्रयोग से तुलना करें। "
        "ठंडा होने पर अभिक्रिया धीमी क्यों हो जाती है? एक उदाहरण से समझाइए।\nलोलक का समय धागे की लंबाई "
        "पर निर्भर है।"
    ),
    "emoji": (
        "Great result 🎉🎉 but the flask 🧪 is too hot 🔥🔥🔥! 👩‍🔬👨🏽‍🔬 says: wait ⏳… then 👍🏿 ok? 🇫🇮🇸🇪"
    ),
    "code": (
        'def speed(samples: list[float], dt: float) -> list[float]:\n    """Differences over '
        'time."""\n'
        "    return [(b - a) / dt for a, b in zip(samples, samples[1:])]\n\nfor i, v in "
        "enumerate(speed(xs, 0.05)):\n"
        '\tif v > 9.81 * i:\n\t\tprint(f"{i:03d}: {v:.2f} m/s")  # too fast\n'
    ),
    "digits": (
        "3.14159 2,718 0001 42 1000000 6.022e23 -273.15 12:34:56 2024-11-05 +358 40 1234567 50% 1/3 0x1F"
    ),
    "lab log": (
        "2031-02-03T09:15:00.125 probe=A7 t=21.48C p=101.32kPa state=OK\n"
        "2031-02-03T09:15:00.250 probe=A7 t=21.51C p=101.31kPa state=OK\n"
        "2031-02-03T09:15:00.375 probe=B2 t=88.02C p=101.90kPa state=WARN valve=open retry=3\n"
        "2031-02-03T09:15:00.500 probe=B2 ERROR read failed: no answer within 250 ms (errno=110)\n\n\n"
        "    at step 14 of 30   \t elapsed 00:03:12\r\n"
    ),
    "spaces": "  two  spaces   three \t tabs\t\t and\n\nnew lines \n \n at the end  \n",
    "odd": (
        "\u0000\u200b\ufeff a\u0301e\u0308 ﬁ Å ½ ﷺ \U0010ffff don't I'LL we'Ve 'quoted' ---"
        " ___ ### <|odd|> </s>"
    ),
}


def corpus(rounds: int = 6) -> list[str]:
    """Texts to train on: every sample, some of them repeated more often, so that versions differ."""
    return [
        text
        for index, text in enumerate(SAMPLES.values())
        for _ in range(1 + (index * rounds) % (rounds + 1))
    ]
